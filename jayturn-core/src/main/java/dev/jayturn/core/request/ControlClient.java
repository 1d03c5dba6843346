package dev.jayturn.core.request;

import dev.jayturn.core.consensus.Command;
import dev.jayturn.core.control.ControlAnswer;
import dev.jayturn.core.control.ControlOutcome;
import dev.jayturn.core.control.ControlRequest;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Transport;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Commits commands in the control log; retries at the next instance if one does not answer. */
public final class ControlClient {
    private static final long RETRY_INTERVAL_MILLIS = 300;

    private final String instance;
    private final String idPrefix;
    private final List<String> controls;
    private final Transport transport;
    private final TimerService timers;
    private final Map<String, PendingCommand> pendingById = new HashMap<>();
    private long lastId;
    private int preferredControl;

    private static final class PendingCommand {
        private final Command command;
        private final Consumer<ControlOutcome> callback;
        private final long deadlineMillis;

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
            TimerService timers) {
        this.instance = instance;
        this.idPrefix = instance + "-" + Long.toString(incarnation, 36) + "-c";
        this.controls = List.copyOf(controls);
        this.transport = transport;
        this.timers = timers;
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
        send(id);
    }

    /** Commits a command and retries until it is answered. */
    public void commitWithoutDeadline(Command command) {
        commit(command, Long.MAX_VALUE / 2, outcome -> {});
    }

    private void send(String id) {
        PendingCommand pending = pendingById.get(id);
        if (pending == null) {
            return;
        }
        if (timers.nowMillis() >= pending.deadlineMillis) {
            pendingById.remove(id);
            pending.callback.accept(ControlOutcome.of(ResultCode.CONTROL_UNREACHABLE, 0));
            return;
        }
        transport.send(
                controls.get(preferredControl),
                new ControlRequest(id, instance, pending.command, false));
        long remainingMillis = Math.max(1, pending.deadlineMillis - timers.nowMillis());
        int usedControl = preferredControl;
        timers.schedule(
                Math.min(RETRY_INTERVAL_MILLIS, remainingMillis), () -> resend(id, usedControl));
    }

    private void resend(String id, int usedControl) {
        if (!pendingById.containsKey(id)) {
            return;
        }
        if (preferredControl == usedControl) {
            preferredControl = (preferredControl + 1) % controls.size();
        }
        send(id);
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
