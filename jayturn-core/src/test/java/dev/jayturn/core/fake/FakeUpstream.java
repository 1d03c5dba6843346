package dev.jayturn.core.fake;

import dev.jayturn.core.budget.CancelStream;
import dev.jayturn.core.budget.StreamCancelled;
import dev.jayturn.core.membership.Announce;
import dev.jayturn.core.membership.Upstream;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.virtual.VirtualNetwork;
import dev.jayturn.core.virtual.VirtualProcess;
import dev.jayturn.core.virtual.VirtualTime;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** An upstream that runs calls for a while, remembers ids and keeps tombstones if told to. */
public final class FakeUpstream {
    private final String id;
    private final String dataCentre;
    private final boolean tombstones;
    private final List<String> models;
    private final VirtualTime time;
    private final VirtualProcess process;
    private final Consumer<Announce> announcer;
    private final Map<String, Long> tokensByIntent = new HashMap<>();
    private final Map<String, Integer> executionsByKey = new HashMap<>();
    private final Set<String> cancelled = new HashSet<>();
    private final List<Long> startMillis = new ArrayList<>();
    private Consumer<String> onRun = key -> {};
    private long durationMillis = 200;
    private long sequence;
    private boolean leaving;
    private boolean answersStopped;

    public FakeUpstream(
            String id,
            String dataCentre,
            boolean tombstones,
            List<String> models,
            VirtualTime time,
            VirtualNetwork network,
            Consumer<Announce> announcer) {
        this.id = id;
        this.dataCentre = dataCentre;
        this.tombstones = tombstones;
        this.models = models;
        this.time = time;
        this.announcer = announcer;
        this.process = new VirtualProcess("upstream/" + id, time, network);
        network.setDataCentre("upstream/" + id, dataCentre);
        process.onMessage((to, message) -> handle(message));
        process.every(1_000, this::announce);
        announce();
    }

    private void announce() {
        Upstream upstream =
                new Upstream(
                        id,
                        models.isEmpty() ? "desk" : "llm",
                        id,
                        dataCentre,
                        1,
                        ++sequence,
                        models,
                        100,
                        false,
                        tombstones,
                        leaving);
        announcer.accept(new Announce(upstream, 0, 0));
    }

    private void handle(Message message) {
        if (message instanceof RunCall call) {
            run(call);
        } else if (message instanceof CancelStream cancel) {
            cancelled.add(cancel.intentId());
            long tokens = tokensByIntent.getOrDefault(cancel.intentId(), 0L);
            process.send(
                    cancel.replyTo(), new StreamCancelled(cancel.intentId(), tokens, tombstones));
        }
    }

    private void run(RunCall call) {
        boolean refused = tombstones && cancelled.contains(call.intentId());
        if (refused || tokensByIntent.containsKey(call.intentId())) {
            process.send(call.replyTo(), new CallReply(call.intentId(), 0, call.key(), true));
            return;
        }
        tokensByIntent.put(call.intentId(), call.tokens());
        startMillis.add(time.nowMillis());
        executionsByKey.merge(call.key(), 1, Integer::sum);
        onRun.accept(call.key());
        if (!answersStopped) {
            CallReply done = new CallReply(call.intentId(), call.tokens(), call.key(), false);
            process.schedule(durationMillis, () -> process.send(call.replyTo(), done));
        }
    }

    public void onRun(Consumer<String> listener) {
        onRun = listener;
    }

    public void announceLeaving() {
        leaving = true;
        announce();
    }

    public void crash() {
        process.crash();
    }

    /** From now on calls run, but are never answered. */
    public void stopAnswering() {
        answersStopped = true;
    }

    public void setDurationMillis(long millis) {
        durationMillis = millis;
    }

    public int executionCount(String key) {
        return executionsByKey.getOrDefault(key, 0);
    }

    public boolean hasRun(String intentId) {
        return tokensByIntent.containsKey(intentId);
    }

    public long tokensOf(String intentId) {
        return tokensByIntent.getOrDefault(intentId, 0L);
    }

    public Map<String, Long> tokensByIntent() {
        return tokensByIntent;
    }

    public long lastStartMillis() {
        return startMillis.isEmpty() ? 0 : startMillis.get(startMillis.size() - 1);
    }

    public int startCount() {
        return startMillis.size();
    }
}
