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

/** Commits commands in the control log, trying one control instance after another. */
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

        PendingCommand(Command command, Consumer<ControlOutcome> answer, long untilMillis) {
            this.command = command;
            this.callback = answer;
            this.deadlineMillis = untilMillis;
        }
    }

    /** Creates a client; the incarnation keeps its request ids apart from a predecessor's. */
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
     * Commits a command. The code CONTROL_UNREACHABLE leaves open whether it was committed; sending
     * the same command again is safe.
     */
    public void commit(Command command, long waitMillis, Consumer<ControlOutcome> answer) {
        String id = idPrefix + ++lastId;
        pendingById.put(id, new PendingCommand(command, answer, timers.nowMillis() + waitMillis));
        send(id);
    }

    /** Commits a command, however long it takes. */
    public void commitWithoutDeadline(Command command) {
        commit(command, Long.MAX_VALUE / 2, outcome -> {});
    }

    private void send(String id) {
        PendingCommand attempt = pendingById.get(id);
        if (attempt == null) {
            return;
        }
        if (timers.nowMillis() >= attempt.deadlineMillis) {
            pendingById.remove(id);
            attempt.callback.accept(ControlOutcome.of(ResultCode.CONTROL_UNREACHABLE, 0));
            return;
        }
        transport.send(
                controls.get(preferredControl),
                new ControlRequest(id, instance, attempt.command, false));
        long left = Math.max(1, attempt.deadlineMillis - timers.nowMillis());
        int used = preferredControl;
        timers.schedule(Math.min(RETRY_INTERVAL_MILLIS, left), () -> resend(id, used));
    }

    private void resend(String id, int used) {
        if (!pendingById.containsKey(id)) {
            return;
        }
        if (preferredControl == used) {
            preferredControl = (preferredControl + 1) % controls.size();
        }
        send(id);
    }

    /** Takes an answer; one that says that no quorum was reached is waited out and tried again. */
    public void handle(ControlAnswer answer) {
        if (answer.outcome().code() == ResultCode.CONTROL_UNREACHABLE) {
            return;
        }
        PendingCommand attempt = pendingById.remove(answer.requestId());
        if (attempt != null) {
            attempt.callback.accept(answer.outcome());
        }
    }
}
