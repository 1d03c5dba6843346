package dev.jayturn.daemon.operator;

import dev.jayturn.core.budget.LedgerQuery;
import dev.jayturn.core.budget.LedgerReading;
import dev.jayturn.core.control.ControlRead;
import dev.jayturn.core.control.ControlReading;
import dev.jayturn.core.membership.HubQuery;
import dev.jayturn.core.membership.HubReading;
import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Readings from control instances, gathered until all have answered or the wait is over. */
public final class ControlQueryClient {
    private static final long QUERY_TIMEOUT_MILLIS = 3_000;
    private static final long RETRY_INTERVAL_MILLIS = 300;

    private final String instance;
    private final List<String> controlInstances;
    private final Transport transport;
    private final TimerService timers;
    private final Map<String, PendingQuery> pendingQueries = new HashMap<>();
    private long lastQueryNumber;

    private static final class PendingQuery {
        private final List<Message> answers = new ArrayList<>();
        private final int expectedAnswers;
        private final Consumer<List<Message>> callback;

        PendingQuery(int expected, Consumer<List<Message>> done) {
            this.expectedAnswers = expected;
            this.callback = done;
        }
    }

    public ControlQueryClient(
            String instance, List<String> controls, Transport transport, TimerService timers) {
        this.instance = instance;
        this.controlInstances = List.copyOf(controls);
        this.transport = transport;
        this.timers = timers;
    }

    /** Asks every ledger; those that did not answer in time are missing from the list. */
    public void queryLedgers(
            String budget, String customer, int limit, Consumer<List<LedgerReading>> done) {
        String id =
                startQuery(controlInstances.size(), answers -> done.accept(castAnswers(answers)));
        for (String control : controlInstances) {
            transport.send(control, new LedgerQuery(id, instance, budget, customer, limit));
        }
    }

    /** Asks every hub for its instances. */
    public void queryHubs(Consumer<List<HubReading>> done) {
        String id =
                startQuery(controlInstances.size(), answers -> done.accept(castAnswers(answers)));
        for (String control : controlInstances) {
            transport.send(control, new HubQuery(id, instance));
        }
    }

    /** Asks the leader, through each control instance until one can say who leads. */
    public void readControl(ControlRead.Part part, String budget, Consumer<ControlReading> done) {
        String id = startQuery(1, answers -> done.accept(firstOrUnreachable(answers)));
        sendUntilAnswered(new ControlRead(id, instance, part, budget, false));
    }

    /** Asks again while there is no answer, since an election may be under way. */
    private void sendUntilAnswered(ControlRead read) {
        if (!pendingQueries.containsKey(read.queryId())) {
            return;
        }
        for (String control : controlInstances) {
            transport.send(control, read);
        }
        timers.schedule(RETRY_INTERVAL_MILLIS, () -> sendUntilAnswered(read));
    }

    private static ControlReading firstOrUnreachable(List<Message> answers) {
        if (answers.isEmpty()) {
            return ControlReading.empty("", ResultCode.CONTROL_UNREACHABLE);
        }
        return (ControlReading) answers.get(0);
    }

    @SuppressWarnings("unchecked")
    private static <T> List<T> castAnswers(List<Message> answers) {
        return (List<T>) answers;
    }

    private String startQuery(int expected, Consumer<List<Message>> done) {
        String id = instance + "-q" + ++lastQueryNumber;
        pendingQueries.put(id, new PendingQuery(expected, done));
        timers.schedule(QUERY_TIMEOUT_MILLIS, () -> finishQuery(id));
        return id;
    }

    private void finishQuery(String id) {
        PendingQuery query = pendingQueries.remove(id);
        if (query != null) {
            query.callback.accept(query.answers);
        }
    }

    /** Handles a message; other kinds are ignored. */
    public void handle(Message message) {
        if (message instanceof LedgerReading reading) {
            addAnswer(reading.queryId(), reading);
        } else if (message instanceof HubReading reading) {
            addAnswer(reading.queryId(), reading);
        } else if (message instanceof ControlReading reading && reading.code() == ResultCode.OK) {
            addAnswer(reading.queryId(), reading);
        }
    }

    private void addAnswer(String id, Message answer) {
        PendingQuery query = pendingQueries.get(id);
        if (query == null) {
            return;
        }
        query.answers.add(answer);
        if (query.answers.size() == query.expectedAnswers) {
            finishQuery(id);
        }
    }
}
