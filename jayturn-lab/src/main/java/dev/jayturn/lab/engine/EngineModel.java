package dev.jayturn.lab.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * A model of an engine with continuous batching. Each step generates one token for every sequence
 * in the batch and takes longer the larger the batch is. The model has no clock: the caller waits
 * between steps for the duration that {@link #step} returns.
 */
public final class EngineModel {
    private static final int MAX_REMEMBERED_IDS = 200_000;

    /** Higher priorities first, then first come, first served. */
    private static final Comparator<QueuedSequence> SERVICE_ORDER =
            Comparator.comparingInt((QueuedSequence queued) -> -queued.sequence.priority)
                    .thenComparingLong(queued -> queued.arrivalNumber);

    private final EngineProfile profile;
    private final PrefixCache cache;
    private final PriorityQueue<QueuedSequence> queue = new PriorityQueue<>(SERVICE_ORDER);
    private final List<Sequence> batch = new ArrayList<>();
    private final Map<String, Sequence> sequencesById = new LinkedHashMap<>();
    private final Set<String> tombstones = new LinkedHashSet<>();
    private long nextArrivalNumber;
    private long cachedChars;
    private long promptChars;

    private record QueuedSequence(Sequence sequence, long arrivalNumber) {}

    /**
     * The result of a cancellation.
     *
     * @param state unknown, done or cancelled
     * @param usedTokens prompt tokens and generated tokens; 0 if none was generated
     */
    public record CancelResult(String state, int usedTokens) {}

    public EngineModel(EngineProfile profile) {
        this.profile = profile;
        this.cache = new PrefixCache(profile.cacheBlocks());
    }

    /** Queues a sequence; returns null if its id was cancelled or used before. */
    public @Nullable Sequence start(
            String id, String prompt, int maxTokens, int priority, Sequence.Listener listener) {
        if (tombstones.contains(id) || sequencesById.containsKey(id)) {
            return null;
        }
        Sequence sequence = new Sequence(id, prompt, maxTokens, priority, listener);
        sequencesById.put(id, sequence);
        removeOldest(sequencesById.keySet());
        queue.add(new QueuedSequence(sequence, nextArrivalNumber++));
        return sequence;
    }

    /** Cancels a sequence and refuses its id in future. */
    public CancelResult cancel(String id) {
        tombstones.add(id);
        removeOldest(tombstones);
        Sequence sequence = sequencesById.get(id);
        if (sequence == null) {
            return new CancelResult("unknown", 0);
        }
        String state = sequence.ended ? "done" : "cancelled";
        sequence.ended = true;
        sequence.listener = null;
        int used =
                sequence.producedTokens == 0
                        ? 0
                        : sequence.promptTokenCount + sequence.producedTokens;
        return new CancelResult(state, used);
    }

    /** Replaces a sequence's listener; returns null if the sequence is unknown or cancelled. */
    public @Nullable Sequence resume(String id, Sequence.Listener listener) {
        Sequence sequence = sequencesById.get(id);
        if (sequence == null || tombstones.contains(id)) {
            return null;
        }
        sequence.listener = listener;
        return sequence;
    }

    private static void removeOldest(Set<String> ids) {
        if (ids.size() > MAX_REMEMBERED_IDS) {
            ids.remove(ids.iterator().next());
        }
    }

    /**
     * Completes the current step, which generates one token per sequence, and starts the next one.
     * Returns the duration of the next step in microseconds, or 0 if there is no work.
     */
    public long step() {
        for (Sequence sequence : batch) {
            produceToken(sequence);
        }
        batch.removeIf(sequence -> sequence.ended);
        long micros = fillBatch();
        if (batch.isEmpty()) {
            return 0;
        }
        return micros + profile.stepMicros() + batch.size() * profile.perSequenceMicros();
    }

    /**
     * Adds queued sequences to the batch; returns the duration of their prefill in microseconds.
     */
    private long fillBatch() {
        double micros = 0;
        while (batch.size() < profile.capacity() && !queue.isEmpty()) {
            Sequence sequence = queue.remove().sequence;
            if (sequence.ended) {
                continue;
            }
            int cached = cache.matchAndAdd(sequence.prompt);
            cachedChars += cached;
            promptChars += sequence.prompt.length();
            int uncached = sequence.prompt.length() - cached;
            micros += uncached / 4.0 * profile.prefillMicrosPerToken();
            batch.add(sequence);
        }
        return (long) micros;
    }

    private static void produceToken(Sequence sequence) {
        if (sequence.ended) {
            return;
        }
        int index = sequence.producedTokens++;
        sequence.ended = sequence.producedTokens == sequence.tokenCount;
        Sequence.Listener listener = sequence.listener;
        if (listener != null) {
            listener.onToken(sequence, index, sequence.ended);
        }
    }

    /** Returns the number of sequences in the batch. */
    public int runningCount() {
        return batch.size();
    }

    /** Returns the number of sequences that wait for room in the batch. */
    public int queuedCount() {
        return queue.size();
    }

    /** Returns the share of prompt characters that were found in the prefix cache. */
    public double cacheHitRate() {
        return promptChars == 0 ? 0 : (double) cachedChars / promptChars;
    }
}
