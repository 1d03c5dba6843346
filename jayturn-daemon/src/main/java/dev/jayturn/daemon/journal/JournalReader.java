package dev.jayturn.daemon.journal;

import dev.jayturn.core.journal.JournalRecord;
import dev.jayturn.wire.MessageCodec;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Reads the records of a journal up to a torn tail. */
final class JournalReader {
    private final List<JournalRecord> records = new ArrayList<>();
    private final byte[] validContent;

    JournalReader(Path file) throws IOException, JournalCorruptException {
        byte[] content = Files.readAllBytes(file);
        ByteBuffer buffer = ByteBuffer.wrap(content);
        byte[] body = JournalFormat.decodeNext(buffer);
        while (body != null) {
            records.add(MessageCodec.decodeRecord(body));
            body = JournalFormat.decodeNext(buffer);
        }
        validContent = Arrays.copyOf(content, buffer.position());
        checkTail(file, buffer);
    }

    /** Rejects a damaged record before a valid one: it was acknowledged and must stay. */
    private void checkTail(Path file, ByteBuffer buffer) throws JournalCorruptException {
        if (buffer.remaining() < JournalFormat.HEADER_BYTES) {
            return;
        }
        int length = buffer.getInt(buffer.position());
        int next = buffer.position() + JournalFormat.HEADER_BYTES + Math.max(0, length);
        if (length <= 0 || next < 0 || next >= buffer.limit()) {
            return;
        }
        ByteBuffer rest = buffer.duplicate();
        rest.position(next);
        if (JournalFormat.decodeNext(rest) != null) {
            throw new JournalCorruptException(file, validContent.length);
        }
    }

    List<JournalRecord> records() {
        return records;
    }

    /** Returns the content of the file up to the torn tail. */
    byte[] validContent() {
        return validContent;
    }
}
