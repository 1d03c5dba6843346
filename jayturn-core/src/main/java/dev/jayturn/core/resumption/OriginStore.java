package dev.jayturn.core.resumption;

import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import java.util.ArrayList;
import java.util.List;

/** Keeps the origins of streams at a control instance, for entry instances that ask for them. */
public final class OriginStore {
    /** Limits the memory to some 30 MB. */
    private static final int MAX_RECORDS = 1 << 18;

    private static final long EXPIRY_INTERVAL_MILLIS = 2_000;

    private final String self;
    private final Transport transport;
    private final TimerService timers;
    private final OriginTable table = new OriginTable(MAX_RECORDS);

    public OriginStore(String self, Transport transport, TimerService timers) {
        this.self = self;
        this.transport = transport;
        this.timers = timers;
        timers.every(EXPIRY_INTERVAL_MILLIS, () -> table.removeExpired(timers.nowMillis()));
    }

    /** Returns the number of streams that this instance has a record of. */
    public int size() {
        return table.size();
    }

    /** Handles a message from another instance; returns false if it is of another kind. */
    public boolean handle(Message message) {
        if (message instanceof OriginShare share) {
            long now = timers.nowMillis();
            for (OriginRecord origin : share.records()) {
                table.put(origin.stream(), origin.origin(), origin.remainingMillis(), now);
            }
        } else if (message instanceof OriginQuery query) {
            transport.send(query.from(), answer(query));
        } else {
            return false;
        }
        return true;
    }

    private OriginAnswer answer(OriginQuery query) {
        List<OriginRecord> known = new ArrayList<>();
        List<Long> missing = new ArrayList<>();
        for (long stream : query.streams()) {
            OriginRecord found = table.find(stream, timers.nowMillis());
            if (found == null) {
                missing.add(stream);
            } else {
                known.add(found);
            }
        }
        return new OriginAnswer(self, known, missing);
    }
}
