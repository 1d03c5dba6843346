package dev.jayturn.daemon.journal;

import com.google.common.flogger.FluentLogger;
import dev.jayturn.core.journal.Journal;
import dev.jayturn.core.journal.JournalRecord;
import dev.jayturn.core.journal.JournalRetryPolicy;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.daemon.loop.LoopTask;
import dev.jayturn.wire.MessageCodec;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * A journal in one file with group commit: a writer thread writes all queued operations, syncs once
 * and then runs their callbacks on the owner's executor. Operations stay in memory until they are
 * durable. After a failed write or sync the writer opens the file again, cuts it to what is known
 * to be durable, and writes everything after that once more. It never creates the file anew: if the
 * file is gone, the owner writes the whole state again.
 */
public final class FileJournal implements Journal, AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Path file;
    private final Executor callbackExecutor;
    private final JournalListener listener;
    private final JournalFile.Opener opener;
    private final Thread writerThread;
    private final List<JournalRecord> recovered;
    private final AtomicLong syncCount = new AtomicLong();
    private final Object lock = new Object();

    /** Operations that the writer has not taken yet; guarded by the lock. */
    private JournalBatch queued = new JournalBatch();

    private volatile int writingCallbacks;
    private volatile long writingBytes;
    private volatile long writingSinceNanos;
    private volatile long failedSinceNanos;
    private volatile long lastDurableNanos = System.nanoTime();
    private volatile boolean closed;
    private long recordsSinceRewrite;

    /** Null until the file has been opened, and after a failure. Used by the writer only. */
    private @Nullable JournalFile openFile;

    private long durableBytes;

    /** Whether the file no longer holds what is durable. Used by the writer only. */
    private boolean lost;

    /** Failed attempts since the last one that succeeded. Used by the writer only. */
    private int failures;

    /** Content of the file on opening, until a sync has made sure that it is durable. */
    private byte @Nullable [] unsyncedContent;

    /**
     * Opens or creates a journal; cuts a torn tail.
     *
     * @param callbackExecutor the owner's thread, which runs the callbacks
     * @throws IOException if the file cannot be read or created
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
        this.opener = opener;
        Files.deleteIfExists(temporaryFile());
        if (Files.notExists(file)) {
            opener.open(file, 0).close();
            syncParentFolder(file);
        }
        JournalReader reader = new JournalReader(file);
        this.recovered = reader.records();
        this.recordsSinceRewrite = recovered.size();
        this.durableBytes = reader.validContent().length;
        this.unsyncedContent = reader.validContent();
        try {
            reopen();
        } catch (IOException e) {
            failures = 1;
            onFailure(e);
        }
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

    /** Returns whether the last write or sync has failed. */
    public boolean isFailed() {
        return failedSinceNanos != 0;
    }

    /** Returns for how long writes have failed, in milliseconds; 0 if they succeed. */
    public long failedMillis() {
        return millisSince(failedSinceNanos);
    }

    /** Returns the age of the oldest operation that is not durable; 0 if all are. */
    public long pendingMillis() {
        long writingNanos = writingSinceNanos;
        if (writingNanos != 0) {
            return millisSince(writingNanos);
        }
        synchronized (lock) {
            return millisSince(queued.oldestNanos());
        }
    }

    /** Returns the time since operations last became durable, or since opening. */
    public long lastDurableMillis() {
        return millisSince(lastDurableNanos);
    }

    private static long millisSince(long nanos) {
        return nanos == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    /** Returns the number of syncs after opening. */
    public long syncCount() {
        return syncCount.get();
    }

    @Override
    public void append(JournalRecord journalRecord, Runnable onDurable) {
        recordsSinceRewrite++;
        byte[] body = MessageCodec.encode(journalRecord);
        long pendingBytes;
        synchronized (lock) {
            queued.append(body, onDurable);
            lock.notifyAll();
            pendingBytes = queued.bytes() + writingBytes;
        }
        if (JournalRetryPolicy.mustEnd(pendingBytes, pendingMillis())) {
            listener.onOverflow(pendingBytes);
        }
    }

    @Override
    public void whenDurable(Runnable onDurable) {
        long pendingMillis = pendingMillis();
        synchronized (lock) {
            int waiting = queued.callbacks().size() + writingCallbacks;
            if (!JournalRetryPolicy.mustDropCallback(waiting, pendingMillis)) {
                queued.addCallback(onDurable);
                lock.notifyAll();
            }
        }
    }

    @Override
    public void rewrite(List<JournalRecord> records) {
        recordsSinceRewrite = 0;
        List<byte[]> bodies = new ArrayList<>();
        for (JournalRecord journalRecord : records) {
            bodies.add(MessageCodec.encode(journalRecord));
        }
        synchronized (lock) {
            queued.replaceFile(bodies);
            lock.notifyAll();
        }
    }

    @Override
    public long recordsSinceRewrite() {
        return recordsSinceRewrite;
    }

    private void writeLoop() {
        JournalBatch batch = new JournalBatch();
        while (!closed) {
            try {
                batch.addAll(takeQueued());
                setWriting(batch);
                write(batch);
            } catch (IOException e) {
                failures++;
                onFailure(e);
                continue;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            onSuccess(batch.callbacks());
            batch = new JournalBatch();
            setWriting(batch);
        }
    }

    private void setWriting(JournalBatch batch) {
        writingCallbacks = batch.callbacks().size();
        writingBytes = batch.bytes();
        writingSinceNanos = batch.oldestNanos();
    }

    /** Waits for operations, after a failure for the time until the next attempt. */
    private JournalBatch takeQueued() throws InterruptedException {
        if (failures > 0) {
            Thread.sleep(JournalRetryPolicy.retryDelayMillis(failures));
        }
        synchronized (lock) {
            while (failures == 0 && queued.isEmpty()) {
                lock.wait();
            }
            JournalBatch taken = queued;
            queued = new JournalBatch();
            return taken;
        }
    }

    private void onFailure(IOException cause) {
        closeFile();
        if (closed || failures > 1) {
            return;
        }
        failedSinceNanos = System.nanoTime();
        LOGGER.atSevere().withCause(cause).log(
                "journal: Writing %s failed with code %d; trying again until it succeeds.",
                file, ResultCode.JOURNAL_FAILED.number());
        callbackExecutor.execute(() -> listener.onFailed(cause));
    }

    private void onSuccess(List<Runnable> callbacks) {
        lastDurableNanos = System.nanoTime();
        if (failures > 0) {
            long failedMillis = failedMillis();
            int attempts = failures;
            failures = 0;
            failedSinceNanos = 0;
            LOGGER.atInfo().log("journal: Writing %s succeeds again.", file);
            callbackExecutor.execute(() -> listener.onRecovered(failedMillis, attempts));
        }
        callbackExecutor.execute(() -> callbacks.forEach(LoopTask::run));
    }

    private void write(JournalBatch batch) throws IOException {
        if (batch.replacesFile()) {
            replaceFile(batch.encode(0));
            return;
        }
        JournalFile appended = openFile == null ? reopen() : openFile;
        ByteBuffer bytes = batch.encode(durableBytes);
        int size = bytes.remaining();
        if (size > 0) {
            appended.append(bytes);
            appended.sync();
            if (Files.notExists(file)) {
                throw new NoSuchFileException(file.toString());
            }
            durableBytes += size;
            syncCount.incrementAndGet();
            markSynced(appended);
        }
    }

    /**
     * Marks the end of what is synced, by which a reader tells a damaged record from a torn one.
     * The journal is complete without the mark.
     */
    private void markSynced(JournalFile synced) {
        try {
            synced.writeMark(JournalFormat.encodeMark(durableBytes));
        } catch (IOException e) {
            if (!closed) {
                LOGGER.atWarning().withCause(e).log("journal: Marking the end of %s failed.", file);
            }
            closeFile();
        }
    }

    /** Opens the file and cuts it to what is durable. */
    private JournalFile reopen() throws IOException {
        byte[] content = unsyncedContent;
        if (content != null && isFailed()) {
            // The sync on opening may have failed, and the next one would not report it again.
            replaceFile(ByteBuffer.wrap(content));
        }
        checkNotLost();
        JournalFile opened = opener.open(file, durableBytes);
        openFile = opened;
        opened.sync();
        // The file may have replaced another one right before the process ended or failed.
        syncParentFolder(file);
        unsyncedContent = null;
        markSynced(opened);
        return opened;
    }

    /** Lets the owner write everything again if the file no longer holds what is durable. */
    private void checkNotLost() throws IOException {
        if (durableBytes == 0 || (!Files.notExists(file) && Files.size(file) >= durableBytes)) {
            return;
        }
        if (!lost) {
            lost = true;
            callbackExecutor.execute(listener::onLost);
        }
        throw new IOException(file + " no longer holds what was durable");
    }

    private void replaceFile(ByteBuffer content) throws IOException {
        int size = content.remaining();
        Path folder = file.toAbsolutePath().getParent();
        if (folder != null) {
            Files.createDirectories(folder);
        }
        try (JournalFile out = opener.open(temporaryFile(), 0)) {
            out.append(content);
            out.append(JournalFormat.encodeMark(size));
            out.sync();
        }
        closeFile();
        Files.move(temporaryFile(), file, StandardCopyOption.ATOMIC_MOVE);
        syncParentFolder(file);
        durableBytes = size;
        unsyncedContent = null;
        lost = false;
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

    private void closeFile() {
        JournalFile closing = openFile;
        openFile = null;
        if (closing == null) {
            return;
        }
        try {
            closing.close();
        } catch (IOException e) {
            LOGGER.atWarning().withCause(e).log("journal: Closing %s failed.", file);
        }
    }

    /** Stops writing; operations that are not durable yet are lost. */
    @Override
    public void close() {
        closed = true;
        writerThread.interrupt();
        try {
            writerThread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        closeFile();
    }
}
