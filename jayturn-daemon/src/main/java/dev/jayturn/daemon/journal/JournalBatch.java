package dev.jayturn.daemon.journal;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Operations of a journal that become durable together. Records before a replacement of the file
 * are dropped: they are part of what replaces it.
 */
final class JournalBatch {
    private final List<byte[]> bodies = new ArrayList<>();
    private final List<Runnable> callbacks = new ArrayList<>();
    private boolean replacesFile;
    private long bytes;
    private long oldestNanos;

    void append(byte[] body, Runnable onDurable) {
        bodies.add(body);
        bytes += body.length;
        addCallback(onDurable);
    }

    void addCallback(Runnable onDurable) {
        if (callbacks.isEmpty()) {
            oldestNanos = System.nanoTime();
        }
        callbacks.add(onDurable);
    }

    void replaceFile(List<byte[]> replacement) {
        bodies.clear();
        bytes = 0;
        replacesFile = true;
        replacement.forEach(body -> append(body, () -> {}));
    }

    /** Adds the operations of a later batch. */
    void addAll(JournalBatch later) {
        if (callbacks.isEmpty()) {
            oldestNanos = later.oldestNanos;
        }
        if (later.replacesFile) {
            bodies.clear();
            bytes = 0;
            replacesFile = true;
        }
        bodies.addAll(later.bodies);
        bytes += later.bytes;
        callbacks.addAll(later.callbacks);
    }

    /** Returns whether there is nothing to write and no one to call back. */
    boolean isEmpty() {
        return callbacks.isEmpty() && !replacesFile;
    }

    boolean replacesFile() {
        return replacesFile;
    }

    /** Returns the size of the records in memory, in bytes. */
    long bytes() {
        return bytes;
    }

    /** Returns when the oldest operation was added; 0 if there is none. */
    long oldestNanos() {
        return oldestNanos;
    }

    List<Runnable> callbacks() {
        return callbacks;
    }

    /**
     * Returns the records in the format of the file.
     *
     * @param offset offset in the file at which they are written
     */
    ByteBuffer encode(long offset) {
        List<byte[]> frames = new ArrayList<>();
        int size = 0;
        for (byte[] body : bodies) {
            byte[] frame = JournalFormat.encode(body, offset);
            frames.add(frame);
            size += frame.length;
        }
        ByteBuffer buffer = ByteBuffer.allocate(size);
        frames.forEach(buffer::put);
        return buffer.flip();
    }
}
