package dev.jayturn.daemon.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;

/** Files whose writes or syncs fail while the disk is full or faulty. */
final class FailingDisk implements JournalFile.Opener {
    private volatile boolean full;
    private volatile boolean syncsFail;
    private volatile boolean opensFail;
    private volatile boolean throwing;
    private volatile boolean powerLost;

    /** Lets each write store half of its bytes and fail. */
    void setFull(boolean isFull) {
        full = isFull;
    }

    /** Lets each sync fail and lose what was written since the one before. */
    void setSyncsFail(boolean fail) {
        syncsFail = fail;
    }

    /** Lets no file be opened. */
    void setOpensFail(boolean fail) {
        opensFail = fail;
    }

    /** Lets each write throw an unchecked exception. */
    void setThrowing(boolean isThrowing) {
        throwing = isThrowing;
    }

    /** Lets no sync of what was written come to its end. */
    void losePower() {
        powerLost = true;
    }

    @Override
    public JournalFile open(Path path, long length) throws IOException {
        if (opensFail) {
            throw new IOException("the file cannot be opened");
        }
        JournalFile file = JournalFile.open(path, length);
        return new JournalFile() {
            private long syncedBytes = length;
            private boolean appended;

            @Override
            public void append(ByteBuffer bytes) throws IOException {
                if (throwing) {
                    throw new IllegalStateException("a fault of the program");
                }
                if (full) {
                    bytes.limit(bytes.position() + bytes.remaining() / 2);
                    file.append(bytes);
                    throw new IOException("no space left");
                }
                file.append(bytes);
                appended = true;
            }

            @Override
            public void writeMark(ByteBuffer bytes) throws IOException {
                if (full) {
                    throw new IOException("no space left");
                }
                file.writeMark(bytes);
            }

            @Override
            public void sync() throws IOException {
                if (powerLost && appended) {
                    throw new IOException("the sync did not end");
                }
                byte[] written = Files.readAllBytes(path);
                if (syncsFail) {
                    Arrays.fill(written, (int) syncedBytes, written.length, (byte) 0);
                    Files.write(path, written);
                    throw new IOException("the sync failed");
                }
                file.sync();
                syncedBytes = written.length;
            }

            @Override
            public void close() throws IOException {
                file.close();
            }
        };
    }
}
