package dev.jayturn.daemon.journal;

import com.google.common.hash.Hashing;
import java.nio.ByteBuffer;
import org.jspecify.annotations.Nullable;

/**
 * The file format of a journal. A record is the length of the body and its CRC32C, big-endian
 * integers of four bytes each, then the body. The body ends with the offset at which the group of
 * records starts that was written and synced together, behind a tag of four bytes; records of older
 * builds lack both.
 *
 * <p>Behind the last record there may be a mark, which says that all bytes before it are synced: a
 * length of zero, the tag and the mark's own offset. The next group overwrites it. Older builds
 * take it for a torn tail.
 */
final class JournalFormat {
    static final int HEADER_BYTES = 8;
    static final int MAX_RECORD_BYTES = 64 << 20;
    static final int MARK_BYTES = 16;

    /** Tag and offset of the group at the end of a body. */
    private static final int GROUP_BYTES = 12;

    private static final int TAG = 0x4a475250;
    private static final long UNKNOWN_GROUP = -1;

    private JournalFormat() {}

    /** Returns a record of a group that starts at an offset. */
    static byte[] encode(byte[] content, long groupStart) {
        byte[] body =
                ByteBuffer.allocate(content.length + GROUP_BYTES)
                        .put(content)
                        .putInt(TAG)
                        .putLong(groupStart)
                        .array();
        return ByteBuffer.allocate(HEADER_BYTES + body.length)
                .putInt(body.length)
                .putInt(checksum(body))
                .put(body)
                .array();
    }

    /** Returns the mark that follows synced bytes. */
    static ByteBuffer encodeMark(long syncedBytes) {
        return ByteBuffer.allocate(MARK_BYTES).putInt(0).putInt(TAG).putLong(syncedBytes).flip();
    }

    /** Returns whether there is a mark at an offset. */
    static boolean isMark(ByteBuffer buffer, int offset) {
        return offset >= 0
                && buffer.limit() - offset >= MARK_BYTES
                && buffer.getInt(offset) == 0
                && buffer.getInt(offset + Integer.BYTES) == TAG
                && buffer.getLong(offset + 2 * Integer.BYTES) == offset;
    }

    /**
     * Returns whether a record shows that the bytes before an offset were synced when it was
     * written. Each record of an older build does.
     */
    static boolean provesSynced(byte[] body, long offset) {
        long group = groupStart(body);
        return group == UNKNOWN_GROUP || group > offset;
    }

    private static long groupStart(byte[] body) {
        ByteBuffer buffer = ByteBuffer.wrap(body);
        int tagOffset = body.length - GROUP_BYTES;
        return tagOffset >= 0 && buffer.getInt(tagOffset) == TAG
                ? buffer.getLong(tagOffset + Integer.BYTES)
                : UNKNOWN_GROUP;
    }

    /**
     * Returns the body of the record at the buffer's position and advances past it; returns null
     * and does not advance if the record is incomplete or damaged.
     */
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
