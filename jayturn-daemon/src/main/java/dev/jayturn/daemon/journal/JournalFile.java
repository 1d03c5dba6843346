package dev.jayturn.daemon.journal;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** A file that a journal appends to. */
interface JournalFile extends Closeable {
    /** Opens the files of a journal. */
    interface Opener {
        /**
         * Opens or creates a file and cuts it to a length.
         *
         * @param length length in bytes
         * @throws IOException if it cannot be opened or is shorter
         */
        JournalFile open(Path path, long length) throws IOException;
    }

    /** Appends all remaining bytes of a buffer. */
    void append(ByteBuffer bytes) throws IOException;

    /** Writes all remaining bytes of a buffer behind the end; the next append overwrites them. */
    void writeMark(ByteBuffer bytes) throws IOException;

    /** Makes all bytes appended so far durable. */
    void sync() throws IOException;

    /** Opens a file of the default file system. */
    static JournalFile open(Path path, long length) throws IOException {
        FileChannel channel =
                FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            if (channel.size() < length) {
                throw new IOException(path + " is shorter than " + length + " bytes");
            }
            if (channel.size() > length) {
                channel.truncate(length);
            }
            channel.position(length);
        } catch (IOException e) {
            channel.close();
            throw e;
        }
        return new JournalFile() {
            @Override
            public void append(ByteBuffer bytes) throws IOException {
                while (bytes.hasRemaining()) {
                    channel.write(bytes);
                }
            }

            @Override
            public void writeMark(ByteBuffer bytes) throws IOException {
                long end = channel.position();
                append(bytes);
                channel.position(end);
            }

            @Override
            public void sync() throws IOException {
                channel.force(false);
            }

            @Override
            public void close() throws IOException {
                channel.close();
            }
        };
    }
}
