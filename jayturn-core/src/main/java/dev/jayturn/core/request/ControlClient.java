package dev.jayturn.core.request;

import dev.jayturn.core.consensus.Command;
import dev.jayturn.core.control.ControlAnswer;
import dev.jayturn.core.control.ControlOutcome;
import dev.jayturn.core.control.ControlRequest;
import dev.jayturn.core.random.RandomSource;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Transport;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Commits commands in the control log; retries at the next instance if one does not answer.
 *
 * <p>Designed for an instance that is cut off from the control instances for minutes while calls go
 * on: commands that must not be lost add up, and if each were sent again at a fixed interval, the
 * link and the control log would be full of copies once the connection is back. So the interval of
 * each command doubles, with jitter, and the retries of all commands together are limited.
 */
public final class ControlClient {
    /** Interval before the first retry of a command; it doubles up to the maximum. */
    private static final long RETRY_INTERVAL_MILLIS = 300;

    private static final long MAX_RETRY_INTERVAL_MILLIS = 4_800;

    /** Maximum number of retries of all commands within the first interval. */
    private static final int MAX_RETRIES_PER_INTERVAL = 20;

    /** The largest jitter is the interval divided by this. */
    private static final int JITTER_DIVISOR = 4;

    private final String instance;
    private final String idPrefix;
    private final List<String> controls;
    private final Transport transport;
    private final TimerService timers;
    private final RandomSource random;
    private final Map<String, PendingCommand> pendingById = new HashMap<>();
    private long lastId;
    private int preferredControl;
    private long intervalStartMillis;
    private int retriesInInterval;

    private static final class PendingCommand {
        private final Command command;
        private final Consumer<ControlOutcome> callback;
        private final long deadlineMillis;
        private long retryIntervalMillis = RETRY_INTERVAL_MILLIS;

        PendingCommand(Command command, Consumer<ControlOutcome> callback, long deadlineMillis) {
            this.command = command;
            this.callback = callback;
            this.deadlineMillis = deadlineMillis;
        }
    }

    /**
     * Creates a client.
     *
     * @param incarnation makes the request ids differ from those before a restart
     * @param controls control instances, the nearest first
     */
    public ControlClient(
            String instance,
            long incarnation,
            List<String> controls,
            Transport transport,
            TimerService timers,
            RandomSource random) {
        this.instance = instance;
        this.idPrefix = instance + "-" + Long.toString(incarnation, 36) + "-c";
        this.controls = List.copyOf(controls);
        this.transport = transport;
        this.timers = timers;
        this.random = random;
    }

    /**
     * Commits a command. After the code CONTROL_UNREACHABLE it is unknown whether the command was
     * committed; sending the same command again is safe.
     *
     * @param waitMillis time after which the callback gets CONTROL_UNREACHABLE
     */
    public void commit(Command command, long waitMillis, Consumer<ControlOutcome> callback) {
        String id = idPrefix + ++lastId;
        pendingById.put(id, new PendingCommand(command, callback, timers.nowMillis() + waitMillis));
        send(id, false);
    }

    /** Commits a command and retries until it is answered. */
    public void commitWithoutDeadline(Command command) {
        commit(command, Long.MAX_VALUE / 2, outcome -> {});
    }

    private void send(String id, boolean isRetry) {
        PendingCommand pending = pendingById.get(id);
        if (pending == null) {
            return;
        }
        if (timers.nowMillis() >= pending.deadlineMillis) {
            pendingById.remove(id);
            pending.callback.accept(ControlOutcome.of(ResultCode.CONTROL_UNREACHABLE, 0));
            return;
        }
        if (!isRetry || tryAcquireRetry()) {
            transport.send(
                    controls.get(preferredControl),
                    new ControlRequest(id, instance, pending.command, false));
        }
        long intervalMillis = pending.retryIntervalMillis;
        pending.retryIntervalMillis = Math.min(2 * intervalMillis, MAX_RETRY_INTERVAL_MILLIS);
        long delayMillis = intervalMillis + random.nextInt((int) intervalMillis / JITTER_DIVISOR);
        long remainingMillis = Math.max(1, pending.deadlineMillis - timers.nowMillis());
        int usedControl = preferredControl;
        timers.schedule(Math.min(delayMillis, remainingMillis), () -> resend(id, usedControl));
    }

    private boolean tryAcquireRetry() {
        long nowMillis = timers.nowMillis();
        if (nowMillis - intervalStartMillis >= RETRY_INTERVAL_MILLIS) {
            intervalStartMillis = nowMillis;
            retriesInInterval = 0;
        }
        return ++retriesInInterval <= MAX_RETRIES_PER_INTERVAL;
    }

    private void resend(String id, int usedControl) {
        if (!pendingById.containsKey(id)) {
            return;
        }
        if (preferredControl == usedControl) {
            preferredControl = (preferredControl + 1) % controls.size();
        }
        send(id, true);
    }

    /** Handles an answer; ignores CONTROL_UNREACHABLE, after which the retry timer resends. */
    public void handle(ControlAnswer answer) {
        if (answer.outcome().code() == ResultCode.CONTROL_UNREACHABLE) {
            return;
        }
        PendingCommand pending = pendingById.remove(answer.requestId());
        if (pending != null) {
            pending.callback.accept(answer.outcome());
        }
    }
}
