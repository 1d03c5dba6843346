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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * A journal in one file with group commit: a writer thread writes all queued operations, syncs once
 * and then runs their callbacks on the owner's executor. After a failed write or sync it
 * acknowledges nothing more.
 */
public final class FileJournal implements Journal, AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_GROUP_OPERATIONS = 4_096;

    private final Path file;
    private final Executor callbackExecutor;
    private final JournalListener listener;
    private final LinkedBlockingQueue<Operation> queue = new LinkedBlockingQueue<>();
    private final Thread writerThread;
    private final List<JournalRecord> recovered;
    private final JournalFile.Opener opener;
    private JournalFile openFile;
    private long recordsSinceRewrite;
    private volatile boolean failed;
    private final AtomicLong syncCount = new AtomicLong();
    private volatile boolean closed;

    /** The oldest operation of the group that is being written, or whose writing failed. */
    private volatile @Nullable Operation oldestInWork;

    private volatile long lastDurableNanos = System.nanoTime();
    private volatile long failedNanos;

    private record Operation(
            byte[] bytes, boolean replacesFile, Runnable onDurable, long queuedNanos) {
        Operation(byte[] bytes, boolean replacesFile, Runnable onDurable) {
            this(bytes, replacesFile, onDurable, System.nanoTime());
        }
    }

    /**
     * Opens or creates a journal; truncates a torn tail.
     *
     * @param callbackExecutor the owner's thread, which runs the callbacks
     * @throws IOException if the file cannot be used
     * @throws JournalCorruptException if a record before the tail is damaged
     */
    public FileJournal(Path file, Executor callbackExecutor, JournalListener listener)
            throws IOException, JournalCorruptException {
        this(file, callbackExecutor, listener, JournalFile::open);
    }

    FileJournal(
            Path file,
            Executor callbackExecutor,
            JournalListener listener,
            JournalFile.Opener opener)
            throws IOException, JournalCorruptException {
        this.file = file;
        this.callbackExecutor = callbackExecutor;
        this.listener = listener;
        Files.deleteIfExists(temporaryFile());
        this.opener = opener;
        JournalReader reader = new JournalReader(file);
        this.recovered = reader.records();
        this.recordsSinceRewrite = recovered.size();
        this.openFile = opener.open(file, reader.validBytes());
        openFile.sync();
        this.writerThread = new Thread(this::writeLoop, "journal-" + file.getFileName());
        this.writerThread.setDaemon(true);
        this.writerThread.start();
    }

    /** Returns the records found on opening and releases them; later calls return none. */
    public List<JournalRecord> takeRecovered() {
        List<JournalRecord> records = new ArrayList<>(recovered);
        recovered.clear();
        return records;
    }

    /** Returns whether a write or sync has failed. */
    public boolean isFailed() {
        return failed;
    }

    /** Returns the time since the first failure, in milliseconds; 0 if there is none. */
    public long failedMillis() {
        return failed ? millisSince(failedNanos) : 0;
    }

    /** Returns the age of the oldest operation that is not durable; 0 if all are. */
    public long pendingMillis() {
        Operation oldest = oldestInWork;
        if (oldest == null) {
            oldest = queue.peek();
        }
        return oldest == null ? 0 : millisSince(oldest.queuedNanos());
    }

    /** Returns the time since an operation last became durable, or since opening. */
    public long lastDurableMillis() {
        return millisSince(lastDurableNanos);
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    /** Returns the number of syncs after opening. */
    public long syncCount() {
        return syncCount.get();
    }

    @Override
    public void append(JournalRecord journalRecord, Runnable onDurable) {
        recordsSinceRewrite++;
        queue.add(
                new Operation(
                        JournalFormat.encode(MessageCodec.encode(journalRecord)),
                        false,
                        onDurable));
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
        for (JournalRecord journalRecord : records) {
            byte[] frame = JournalFormat.encode(MessageCodec.encode(journalRecord));
            frames.add(frame);
            size += frame.length;
        }
        ByteBuffer buffer = ByteBuffer.allocate(size);
        frames.forEach(buffer::put);
        queue.add(new Operation(buffer.array(), true, () -> {}));
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
                oldestInWork = group.get(0);
                writeGroup(group);
                oldestInWork = null;
                lastDurableNanos = System.nanoTime();
                callbackExecutor.execute(acknowledgement(new ArrayList<>(group)));
            } catch (IOException e) {
                failedNanos = System.nanoTime();
                failed = true;
                callbackExecutor.execute(() -> listener.onFailed(e, pendingMillis()));
                LOGGER.atSevere().withCause(e).log(
                        "journal: %s failed with code %d; no further records are acknowledged.",
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
            for (Operation operation : group) {
                operation.onDurable().run();
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

    private void write(List<Operation> operations) throws IOException {
        int size = 0;
        for (Operation operation : operations) {
            size += operation.bytes().length;
        }
        if (size == 0) {
            return;
        }
        ByteBuffer buffer = ByteBuffer.allocate(size);
        for (Operation operation : operations) {
            buffer.put(operation.bytes());
        }
        buffer.flip();
        openFile.append(buffer);
        openFile.sync();
        syncCount.incrementAndGet();
    }

    private void replaceFile(byte[] bytes) throws IOException {
        try (JournalFile out = opener.open(temporaryFile(), 0)) {
            out.append(ByteBuffer.wrap(bytes));
            out.sync();
        }
        openFile.close();
        Files.move(temporaryFile(), file, StandardCopyOption.ATOMIC_MOVE);
        syncParentFolder(file);
        openFile = opener.open(file, bytes.length);
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
        openFile.close();
    }
}
