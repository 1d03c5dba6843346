package dev.jayturn.daemon.journal;

import com.google.common.flogger.FluentLogger;
import dev.jayturn.core.journal.Journal;
import dev.jayturn.core.journal.JournalRecord;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.wire.MessageCodec;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A journal in one file. A thread of its own writes whatever has gathered, syncs once, and then
 * tells the owner (group commit). After a failed write or sync nothing more is acknowledged.
 */
public final class FileJournal implements Journal, AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_GROUP_OPERATIONS = 4_096;

    private final Path file;
    private final Executor callbackExecutor;
    private final LinkedBlockingQueue<Operation> queue = new LinkedBlockingQueue<>();
    private final Thread writerThread;
    private final List<JournalRecord> recovered;
    private FileChannel channel;
    private long recordsSinceRewrite;
    private volatile boolean failed;
    private final AtomicLong syncCount = new AtomicLong();
    private volatile boolean closed;

    private record Operation(byte[] bytes, boolean replacesFile, Runnable onDurable) {}

    /**
     * Opens or creates a journal; a torn tail is cut off.
     *
     * @throws IOException if the file cannot be used
     * @throws JournalCorruptException if a record before the tail is damaged
     */
    public FileJournal(Path file, Executor owner) throws IOException, JournalCorruptException {
        this.file = file;
        this.callbackExecutor = owner;
        Files.deleteIfExists(temporaryFile());
        this.channel =
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        JournalReader reader = new JournalReader(file);
        this.recovered = reader.records();
        this.recordsSinceRewrite = recovered.size();
        channel.truncate(reader.validBytes());
        channel.position(reader.validBytes());
        channel.force(true);
        this.writerThread = new Thread(this::writeLoop, "journal-" + file.getFileName());
        this.writerThread.setDaemon(true);
        this.writerThread.start();
    }

    /** Returns the records found on opening, once; they are let go of afterwards. */
    public List<JournalRecord> takeRecovered() {
        List<JournalRecord> records = new ArrayList<>(recovered);
        recovered.clear();
        return records;
    }

    /** Returns whether a write or sync has failed. */
    public boolean isFailed() {
        return failed;
    }

    /** Returns how often the file was synced. */
    public long syncCount() {
        return syncCount.get();
    }

    @Override
    public void append(JournalRecord entry, Runnable onDurable) {
        recordsSinceRewrite++;
        queue.add(
                new Operation(JournalFormat.encode(MessageCodec.encode(entry)), false, onDurable));
    }

    @Override
    public void whenDurable(Runnable onDurable) {
        queue.add(new Operation(new byte[0], false, onDurable));
    }

    @Override
    public void rewrite(List<JournalRecord> records) {
        recordsSinceRewrite = 0;
        List<byte[]> frames = new ArrayList<>();
        int size = 0;
        for (JournalRecord entry : records) {
            byte[] frame = JournalFormat.encode(MessageCodec.encode(entry));
            frames.add(frame);
            size += frame.length;
        }
        ByteBuffer whole = ByteBuffer.allocate(size);
        frames.forEach(whole::put);
        queue.add(new Operation(whole.array(), true, () -> {}));
    }

    @Override
    public long recordsSinceRewrite() {
        return recordsSinceRewrite;
    }

    private void writeLoop() {
        List<Operation> group = new ArrayList<>();
        while (!closed) {
            try {
                group.add(queue.take());
                queue.drainTo(group, MAX_GROUP_OPERATIONS);
                writeGroup(group);
                callbackExecutor.execute(acknowledgement(new ArrayList<>(group)));
            } catch (IOException e) {
                failed = true;
                LOGGER.atSevere().withCause(e).log(
                        "journal: %s fails with %d; nothing more is acknowledged.",
                        file, ResultCode.JOURNAL_FAILED.number());
                return;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            group.clear();
        }
    }

    private static Runnable acknowledgement(List<Operation> group) {
        return () -> {
            for (Operation op : group) {
                op.onDurable().run();
            }
        };
    }

    private void writeGroup(List<Operation> group) throws IOException {
        int start = 0;
        for (int i = 0; i < group.size(); i++) {
            if (group.get(i).replacesFile()) {
                write(group.subList(start, i));
                replaceFile(group.get(i).bytes());
                start = i + 1;
            }
        }
        write(group.subList(start, group.size()));
    }

    private void write(List<Operation> ops) throws IOException {
        int size = 0;
        for (Operation op : ops) {
            size += op.bytes().length;
        }
        if (size == 0) {
            return;
        }
        ByteBuffer buffer = ByteBuffer.allocate(size);
        for (Operation op : ops) {
            buffer.put(op.bytes());
        }
        buffer.flip();
        while (buffer.hasRemaining()) {
            channel.write(buffer);
        }
        channel.force(false);
        syncCount.incrementAndGet();
    }

    private void replaceFile(byte[] bytes) throws IOException {
        try (FileChannel out =
                FileChannel.open(
                        temporaryFile(), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            while (buffer.hasRemaining()) {
                out.write(buffer);
            }
            out.force(true);
        }
        channel.close();
        Files.move(temporaryFile(), file, StandardCopyOption.ATOMIC_MOVE);
        syncParentFolder(file);
        channel = FileChannel.open(file, StandardOpenOption.WRITE);
        channel.position(channel.size());
        syncCount.incrementAndGet();
    }

    static void syncParentFolder(Path file) throws IOException {
        Path folder = file.toAbsolutePath().getParent();
        if (folder == null) {
            return;
        }
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    private Path temporaryFile() {
        return file.resolveSibling(file.getFileName() + ".new");
    }

    @Override
    public void close() throws IOException {
        closed = true;
        writerThread.interrupt();
        try {
            writerThread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        channel.close();
    }
}
