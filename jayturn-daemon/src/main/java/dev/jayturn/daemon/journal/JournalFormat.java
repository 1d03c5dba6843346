package dev.jayturn.daemon.journal;

import com.google.common.hash.Hashing;
import java.nio.ByteBuffer;
import org.jspecify.annotations.Nullable;

/** A record in a file: its length and CRC32C, four bytes each, then its bytes. */
final class JournalFormat {
    static final int HEADER_BYTES = 8;
    static final int MAX_RECORD_BYTES = 64 << 20;

    private JournalFormat() {}

    static byte[] encode(byte[] body) {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + body.length);
        buffer.putInt(body.length).putInt(checksum(body)).put(body);
        return buffer.array();
    }

    /** Returns the record at the buffer's position and moves past it; null if it is damaged. */
    static byte @Nullable [] decodeNext(ByteBuffer buffer) {
        if (buffer.remaining() < HEADER_BYTES) {
            return null;
        }
        int start = buffer.position();
        int length = buffer.getInt();
        int checksum = buffer.getInt();
        if (length <= 0 || length > MAX_RECORD_BYTES || length > buffer.remaining()) {
            buffer.position(start);
            return null;
        }
        byte[] body = new byte[length];
        buffer.get(body);
        if (checksum(body) != checksum) {
            buffer.position(start);
            return null;
        }
        return body;
    }

    private static int checksum(byte[] body) {
        return Hashing.crc32c().hashBytes(body).asInt();
    }
}
