package dev.jayturn.lab.routing;

import dev.jayturn.core.membership.Announce;
import dev.jayturn.core.membership.Upstream;
import dev.jayturn.core.virtual.VirtualTime;
import dev.jayturn.lab.engine.EngineModel;
import dev.jayturn.lab.engine.EngineProfile;
import dev.jayturn.lab.engine.Sequence;
import java.util.List;

/** An engine model that steps in virtual time and reports its load. */
final class VirtualEngine {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final int DEFAULT_PRIORITY = 5;

    private final String id;
    private final VirtualTime time;
    private final EngineProfile profile;
    private final EngineModel model;
    private boolean stepping;
    private long remainderMicros;
    private long announcementSequence;

    VirtualEngine(String id, VirtualTime time, EngineProfile profile) {
        this.id = id;
        this.time = time;
        this.profile = profile;
        this.model = new EngineModel(profile);
    }

    String id() {
        return id;
    }

    void start(String intentId, String prompt, int maxTokens, Sequence.Listener listener) {
        model.start(intentId, prompt, maxTokens, DEFAULT_PRIORITY, listener);
        if (!stepping) {
            stepping = true;
            time.schedule(0, this::step);
        }
    }

    private void step() {
        long lasts = model.step();
        if (lasts == 0) {
            stepping = false;
            return;
        }
        long micros = lasts + remainderMicros;
        remainderMicros = micros % MICROS_PER_MILLI;
        time.schedule(micros / MICROS_PER_MILLI, this::step);
    }

    double cacheHitRate() {
        return model.cacheHitRate();
    }

    /** Returns the announcement of this moment. */
    Announce createAnnouncement() {
        Upstream upstream =
                new Upstream(
                        id,
                        "llm",
                        id,
                        "place",
                        1,
                        ++announcementSequence,
                        List.of("m"),
                        profile.capacity(),
                        true,
                        true,
                        false);
        return new Announce(upstream, model.runningCount(), model.queuedCount());
    }
}
