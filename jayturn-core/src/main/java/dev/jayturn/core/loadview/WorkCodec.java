package dev.jayturn.core.loadview;

import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.Map;

/**
 * Writes work at upstreams in few bytes. The first byte is the number of values of an upstream;
 * values that a later build appends are skipped. With keys, each upstream with work is written as
 * its key in four bytes and its values; in order, each upstream of the list is written as its
 * values, of which only the first follows if it is 0. Values are written in groups of seven bits,
 * the lowest first.
 */
final class WorkCodec {
    private static final int VALUES = 2;
    private static final int KEY_BYTES = 4;
    private static final int BITS = 7;
    private static final int MORE = 1 << BITS;

    private WorkCodec() {}

    static byte[] encodeWithKeys(Map<Integer, Work> work) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(VALUES);
        work.forEach(
                (key, value) -> {
                    if (value.requests() > 0) {
                        for (int shift = 0; shift < KEY_BYTES * Byte.SIZE; shift += Byte.SIZE) {
                            out.write(key >>> shift);
                        }
                        write(out, value.requests());
                        write(out, value.waitingUnits());
                    }
                });
        return out.toByteArray();
    }

    static byte[] encodeInOrder(int[] keys, Map<Integer, Work> work) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(VALUES);
        for (int key : keys) {
            Work value = work.getOrDefault(key, Work.NONE);
            write(out, value.requests());
            if (value.requests() > 0) {
                write(out, value.waitingUnits());
            }
        }
        return out.toByteArray();
    }

    /**
     * Decodes work written with keys.
     *
     * @throws IllegalArgumentException if the bytes end early
     */
    static Map<Integer, Work> decodeWithKeys(byte[] bytes) {
        Reader in = new Reader(bytes);
        int values = in.next();
        Map<Integer, Work> work = new HashMap<>();
        while (in.hasMore()) {
            int key = 0;
            for (int shift = 0; shift < KEY_BYTES * Byte.SIZE; shift += Byte.SIZE) {
                key |= in.next() << shift;
            }
            work.put(key, in.work(in.value(), values));
        }
        return work;
    }

    /**
     * Decodes work written in the order of a list.
     *
     * @throws IllegalArgumentException if the bytes end early
     */
    static Map<Integer, Work> decodeInOrder(int[] keys, byte[] bytes) {
        Reader in = new Reader(bytes);
        int values = in.next();
        Map<Integer, Work> work = new HashMap<>();
        for (int key : keys) {
            int requests = in.value();
            if (requests > 0) {
                work.put(key, in.work(requests, values));
            }
        }
        return work;
    }

    private static void write(ByteArrayOutputStream out, int value) {
        int rest = value;
        while (rest >= MORE) {
            out.write(rest & (MORE - 1) | MORE);
            rest >>>= BITS;
        }
        out.write(rest);
    }

    private static final class Reader {
        private final byte[] bytes;
        private int position;

        Reader(byte[] bytes) {
            this.bytes = bytes;
        }

        boolean hasMore() {
            return position < bytes.length;
        }

        int next() {
            if (!hasMore()) {
                throw new IllegalArgumentException("work ends early at byte " + position);
            }
            return bytes[position++] & 0xff;
        }

        int value() {
            int value = 0;
            for (int shift = 0; shift < Integer.SIZE; shift += BITS) {
                int part = next();
                value |= (part & (MORE - 1)) << shift;
                if (part < MORE) {
                    return Math.max(0, value);
                }
            }
            throw new IllegalArgumentException("value is too long before byte " + position);
        }

        Work work(int requests, int values) {
            int waitingUnits = values < VALUES ? 0 : value();
            for (int i = VALUES; i < values; i++) {
                value();
            }
            return new Work(requests, waitingUnits);
        }
    }
}
