package dev.jayturn.core.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The share of each shared prefix in the prompt tokens that this instance places, with older
 * requests counting less. Each instance of a fleet sees about the same shares.
 */
final class PrefixShares {
    private static final double HALF_LIFE_MILLIS = 10_000;

    /** After this time nothing of the earlier requests counts. */
    private static final double MAX_HALF_LIVES = 30;

    /** Counted as other prefixes, so that a few requests do not make a prefix a frequent one. */
    private static final double PRIOR_TOKENS = 100_000;

    /** The weights are scaled down before they lose precision. */
    private static final double MAX_WEIGHT = 1e9;

    private static final int MAX_PREFIXES = 512;

    private final Map<String, Double> tokens =
            new LinkedHashMap<>(64, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
                    return size() > MAX_PREFIXES;
                }
            };
    private double total;
    private double weight = 1;
    private long lastMillis = Long.MIN_VALUE;

    /** Counts a request; returns the share of its prefix, from 0 to 1. */
    double add(String prefix, long promptTokens, long nowMillis) {
        if (lastMillis != Long.MIN_VALUE) {
            double halfLives = Math.max(0, nowMillis - lastMillis) / HALF_LIFE_MILLIS;
            weight *= Math.pow(2, Math.min(MAX_HALF_LIVES, halfLives));
        }
        lastMillis = nowMillis;
        if (weight > MAX_WEIGHT) {
            double scale = 1 / weight;
            tokens.replaceAll((key, value) -> value * scale);
            total *= scale;
            weight = 1;
        }
        double added = weight * promptTokens;
        total += added;
        double own = tokens.merge(prefix, added, Double::sum);
        return own / (total + weight * PRIOR_TOKENS);
    }
}
