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
    private static final int MAX_GROUP = 4_096;

    private final Path file;
    private final Executor owner;
    private final LinkedBlockingQueue<Op> queue = new LinkedBlockingQueue<>();
    private final Thread writer;
    private final List<JournalRecord> recovered;
    private FileChannel channel;
    private long appended;
    private volatile boolean failed;
    private final AtomicLong syncs = new AtomicLong();
    private volatile boolean closed;

    private record Op(byte[] bytes, boolean replace, Runnable onDurable) {}

    /**
     * Opens or creates a journal; a torn tail is cut off.
     *
     * @throws IOException if the file cannot be used
     * @throws JournalCorruptException if a record before the tail is damaged
     */
    public FileJournal(Path file, Executor owner) throws IOException, JournalCorruptException {
        this.file = file;
        this.owner = owner;
        Files.deleteIfExists(temporary());
        this.channel =
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        JournalReader reader = new JournalReader(file);
        this.recovered = reader.records();
        this.appended = recovered.size();
        channel.truncate(reader.goodBytes());
        channel.position(reader.goodBytes());
        channel.force(true);
        this.writer = new Thread(this::writeLoop, "journal-" + file.getFileName());
        this.writer.setDaemon(true);
        this.writer.start();
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
    public long syncs() {
        return syncs.get();
    }

    @Override
    public void append(JournalRecord entry, Runnable onDurable) {
        appended++;
        queue.add(new Op(JournalFormat.frame(MessageCodec.encode(entry)), false, onDurable));
    }

    @Override
    public void whenDurable(Runnable onDurable) {
        queue.add(new Op(new byte[0], false, onDurable));
    }

    @Override
    public void rewrite(List<JournalRecord> records) {
        appended = 0;
        List<byte[]> frames = new ArrayList<>();
        int size = 0;
        for (JournalRecord entry : records) {
            byte[] frame = JournalFormat.frame(MessageCodec.encode(entry));
            frames.add(frame);
            size += frame.length;
        }
        ByteBuffer whole = ByteBuffer.allocate(size);
        frames.forEach(whole::put);
        queue.add(new Op(whole.array(), true, () -> {}));
    }

    @Override
    public long recordsSinceRewrite() {
        return appended;
    }

    private void writeLoop() {
        List<Op> group = new ArrayList<>();
        while (!closed) {
            try {
                group.add(queue.take());
                queue.drainTo(group, MAX_GROUP);
                writeGroup(group);
                owner.execute(acknowledgement(new ArrayList<>(group)));
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

    private static Runnable acknowledgement(List<Op> group) {
        return () -> {
            for (Op op : group) {
                op.onDurable().run();
            }
        };
    }

    private void writeGroup(List<Op> group) throws IOException {
        int start = 0;
        for (int i = 0; i < group.size(); i++) {
            if (group.get(i).replace()) {
                write(group.subList(start, i));
                replace(group.get(i).bytes());
                start = i + 1;
            }
        }
        write(group.subList(start, group.size()));
    }

    private void write(List<Op> ops) throws IOException {
        int size = 0;
        for (Op op : ops) {
            size += op.bytes().length;
        }
        if (size == 0) {
            return;
        }
        ByteBuffer buffer = ByteBuffer.allocate(size);
        for (Op op : ops) {
            buffer.put(op.bytes());
        }
        buffer.flip();
        while (buffer.hasRemaining()) {
            channel.write(buffer);
        }
        channel.force(false);
        syncs.incrementAndGet();
    }

    private void replace(byte[] bytes) throws IOException {
        try (FileChannel out =
                FileChannel.open(
                        temporary(), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            while (buffer.hasRemaining()) {
                out.write(buffer);
            }
            out.force(true);
        }
        channel.close();
        Files.move(temporary(), file, StandardCopyOption.ATOMIC_MOVE);
        syncFolder(file);
        channel = FileChannel.open(file, StandardOpenOption.WRITE);
        channel.position(channel.size());
        syncs.incrementAndGet();
    }

    static void syncFolder(Path file) throws IOException {
        Path folder = file.toAbsolutePath().getParent();
        if (folder == null) {
            return;
        }
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    private Path temporary() {
        return file.resolveSibling(file.getFileName() + ".new");
    }

    @Override
    public void close() throws IOException {
        closed = true;
        writer.interrupt();
        try {
            writer.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        channel.close();
    }
}
