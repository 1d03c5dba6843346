package dev.jayturn.core.transport;

import dev.jayturn.core.timer.TimerService;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Sends the entries of a table to other instances shortly after they have changed, and those that
 * still matter again from time to time, so that instances that start later or missed a message
 * learn them too.
 */
public final class ChangeSharing {
    private static final long SEND_DELAY_MILLIS = 50;
    private static final long REPEAT_INTERVAL_MILLIS = 1_500;
    private static final int MAX_ENTRIES_OF_A_MESSAGE = 64;

    private final String self;
    private final Source source;
    private final Transport transport;
    private final TimerService timers;
    private final Supplier<? extends Collection<String>> receivers;
    private final Set<String> changedKeys = new LinkedHashSet<>();
    private boolean sendPending;

    /** The table whose entries are sent. */
    public interface Source {
        /** Returns the keys of the entries that are sent again, the most important ones first. */
        Collection<String> repeatedKeys();

        /** Returns a message with the entries of some keys; null if there are none. */
        @Nullable Message message(Collection<String> keys);
    }

    /**
     * Starts to share the entries of a table.
     *
     * @param receivers addresses of the instances to send to; read each time
     */
    public ChangeSharing(
            String self,
            Source source,
            Transport transport,
            TimerService timers,
            Supplier<? extends Collection<String>> receivers) {
        this.self = self;
        this.source = source;
        this.transport = transport;
        this.timers = timers;
        this.receivers = receivers;
        timers.every(REPEAT_INTERVAL_MILLIS, this::repeat);
    }

    /** Schedules a message with entries that have changed. */
    public void onChanged(Collection<String> keys) {
        changedKeys.addAll(keys);
        if (!sendPending && !changedKeys.isEmpty()) {
            sendPending = true;
            timers.schedule(SEND_DELAY_MILLIS, this::sendChanged);
        }
    }

    private void sendChanged() {
        sendPending = false;
        List<String> keys = firstKeys(changedKeys);
        keys.forEach(changedKeys::remove);
        send(keys);
        onChanged(List.of());
    }

    private void repeat() {
        send(firstKeys(source.repeatedKeys()));
    }

    private static List<String> firstKeys(Collection<String> keys) {
        return new ArrayList<>(keys)
                .subList(0, Math.min(keys.size(), MAX_ENTRIES_OF_A_MESSAGE)).stream().toList();
    }

    private void send(List<String> keys) {
        Message message = source.message(keys);
        if (message == null) {
            return;
        }
        for (String receiver : receivers.get()) {
            if (!receiver.equals(self)) {
                transport.send(receiver, message);
            }
        }
    }
}
