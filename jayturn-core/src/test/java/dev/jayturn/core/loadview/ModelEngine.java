package dev.jayturn.core.loadview;

import dev.jayturn.core.dispatch.PromptPart;
import dev.jayturn.core.dispatch.RequestProfile;
import java.util.HashSet;
import java.util.Set;

/** A model engine that reads one prompt after another and keeps the shared parts that it read. */
final class ModelEngine {
    static final double PROMPT_TOKENS_PER_MILLI = 48.2;

    private final Set<String> cachedParts = new HashSet<>();
    double idleAtMillis;
    private double busyMillis;

    /** Queues a prompt; returns the time at which it has been read. */
    double read(RequestProfile profile, long nowMillis) {
        PromptPart shared = profile.parts().get(0);
        long tokens = profile.promptTokens() - (cachedParts.add(shared.id()) ? 0 : shared.tokens());
        double millis = tokens / PROMPT_TOKENS_PER_MILLI;
        busyMillis += millis;
        idleAtMillis = Math.max(idleAtMillis, nowMillis) + millis;
        return idleAtMillis;
    }

    double busyMillis() {
        return busyMillis;
    }
}
