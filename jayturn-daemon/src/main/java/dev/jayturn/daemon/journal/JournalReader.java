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

    /**
     * Rejects a damaged record that had been synced: it was acknowledged and must stay. Records of
     * a group that was never synced may be torn in any order.
     */
    private void checkTail(Path file, ByteBuffer buffer) throws JournalCorruptException {
        int damaged = buffer.position();
        int lastMark = buffer.limit() - JournalFormat.MARK_BYTES;
        if (lastMark > damaged && JournalFormat.isMark(buffer, lastMark)) {
            throw new JournalCorruptException(file, damaged);
        }
        ByteBuffer rest = buffer.duplicate();
        while (skipRecord(rest)) {
            byte[] body = JournalFormat.decodeNext(rest.duplicate());
            if (body != null && JournalFormat.provesSynced(body, damaged)) {
                throw new JournalCorruptException(file, damaged);
            }
        }
    }

    /** Advances by the length of a record, which may be damaged; returns whether more follows. */
    private static boolean skipRecord(ByteBuffer rest) {
        if (rest.remaining() < JournalFormat.HEADER_BYTES) {
            return false;
        }
        int length = rest.getInt(rest.position());
        int next = rest.position() + JournalFormat.HEADER_BYTES + Math.max(0, length);
        if (length <= 0 || next < 0 || next >= rest.limit()) {
            return false;
        }
        rest.position(next);
        return true;
    }

    List<JournalRecord> records() {
        return records;
    }

    /** Returns the content of the file up to the torn tail. */
    byte[] validContent() {
        return validContent;
    }
}
