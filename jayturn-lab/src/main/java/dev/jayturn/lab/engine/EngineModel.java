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
 * A model of an engine that batches continuously: each step yields one token for each sequence in
 * the batch and lasts longer the fuller the batch is. It has no clock; the caller waits between
 * steps for as long as a step says.
 */
public final class EngineModel {
    private static final int MAX_REMEMBERED_IDS = 200_000;
    private static final Comparator<QueuedSequence> SERVICE_ORDER =
            Comparator.comparingInt((QueuedSequence waiting) -> -waiting.sequence.priority)
                    .thenComparingLong(waiting -> waiting.arrivalNumber);

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

    /** What became of a sequence that was cancelled. */
    public record CancelResult(String state, int usedTokens) {}

    public EngineModel(EngineProfile profile) {
        this.profile = profile;
        this.cache = new PrefixCache(profile.cacheBlocks());
    }

    /** Takes a sequence in; null if its id was cancelled or used before. */
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

    /** Stops a sequence and refuses its id from then on. */
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

    /** Gives a sequence another listener; null if it is unknown. */
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
     * Ends a step, which yields its tokens, and begins the next one. Returns how long that one
     * lasts, in microseconds; 0 if there is no work.
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

    /** Returns the sequences in the batch. */
    public int runningCount() {
        return batch.size();
    }

    /** Returns the sequences that wait for room in the batch. */
    public int queuedCount() {
        return queue.size();
    }

    /** Returns the share of prompt characters that were found in the prefix cache. */
    public double cacheHitRate() {
        return promptChars == 0 ? 0 : (double) cachedChars / promptChars;
    }
}
