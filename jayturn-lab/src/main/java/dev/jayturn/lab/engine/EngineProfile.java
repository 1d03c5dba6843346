package dev.jayturn.lab.engine;

/**
 * The capacity and speed of an engine.
 *
 * @param capacity maximum number of sequences in a batch
 * @param stepMicros duration of a step without the time for its sequences
 * @param perSequenceMicros time that each sequence adds to a step
 * @param prefillMicrosPerToken time to process each prompt token that is not cached
 * @param cacheBlocks maximum number of prompt blocks in the prefix cache
 */
public record EngineProfile(
        int capacity,
        long stepMicros,
        long perSequenceMicros,
        double prefillMicrosPerToken,
        int cacheBlocks) {}
