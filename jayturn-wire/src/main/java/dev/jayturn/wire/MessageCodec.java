package dev.jayturn.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonFormat.Shape;
import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.exc.InvalidTypeIdException;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import dev.jayturn.core.consensus.Command;
import dev.jayturn.core.journal.JournalRecord;
import dev.jayturn.core.transport.Message;
import java.io.IOException;

/**
 * Encodes and decodes messages and journal records as CBOR. Messages, journal records and commands
 * carry their simple class name in the field {@code @}. Decoding ignores unknown fields.
 */
public final class MessageCodec {
    private static final ObjectMapper MAPPER = createMapper();
    private static final ObjectWriter MESSAGE_WRITER = MAPPER.writerFor(Message.class);
    private static final ObjectReader MESSAGE_READER = MAPPER.readerFor(Message.class);
    private static final ObjectWriter RECORD_WRITER = MAPPER.writerFor(JournalRecord.class);
    private static final ObjectReader RECORD_READER = MAPPER.readerFor(JournalRecord.class);

    private MessageCodec() {}

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "@")
    private interface TypeNameMixIn {}

    private static ObjectMapper createMapper() {
        ObjectMapper mapper = new CBORMapper();
        mapper.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
        // Instances of an older version omit components that were added since.
        mapper.configOverride(String.class)
                .setSetterInfo(JsonSetter.Value.forValueNulls(Nulls.AS_EMPTY));
        mapper.addMixIn(Message.class, TypeNameMixIn.class);
        mapper.addMixIn(JournalRecord.class, TypeNameMixIn.class);
        mapper.addMixIn(Command.class, TypeNameMixIn.class);
        for (Class<?> type : WireTypes.POSITIONAL_TYPES) {
            mapper.configOverride(type).setFormat(JsonFormat.Value.forShape(Shape.ARRAY));
        }
        for (Class<?> type : WireTypes.NAMED_TYPES) {
            mapper.registerSubtypes(new NamedType(type, type.getSimpleName()));
        }
        return mapper;
    }

    /** Encodes a message. */
    public static byte[] encode(Message message) {
        return write(MESSAGE_WRITER, message);
    }

    /**
     * Decodes a message.
     *
     * @throws UnknownTypeException if the message, or a part of it, is of a type that is not known
     * @throws IOException if the bytes are not a message
     */
    public static Message decodeMessage(byte[] bytes) throws IOException {
        return read(MESSAGE_READER, bytes);
    }

    /** Encodes a journal record. */
    public static byte[] encode(JournalRecord journalRecord) {
        return write(RECORD_WRITER, journalRecord);
    }

    /**
     * Decodes a journal record.
     *
     * @throws UnknownTypeException if the record, or a part of it, is of a type that is not known
     * @throws IOException if the bytes are not a journal record
     */
    public static JournalRecord decodeRecord(byte[] bytes) throws IOException {
        return read(RECORD_READER, bytes);
    }

    private static <T> T read(ObjectReader reader, byte[] bytes) throws IOException {
        try {
            return reader.readValue(bytes);
        } catch (InvalidTypeIdException e) {
            if (e.getTypeId() == null) {
                throw e;
            }
            throw new UnknownTypeException(e.getTypeId(), e);
        }
    }

    private static byte[] write(ObjectWriter writer, Object value) {
        try {
            return writer.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode " + value, e);
        }
    }
}
