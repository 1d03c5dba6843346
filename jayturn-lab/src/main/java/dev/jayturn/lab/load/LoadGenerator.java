package dev.jayturn.lab.load;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.EventExecutor;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * Sends calls at a fixed rate whatever the answers do, so that a slow answer delays none of the
 * others; latency counts from the time that a call was due.
 */
public final class LoadGenerator {
    private static final int EVENT_LOOP_THREADS = 2;
    private static final int LONG_PROMPT_FACTOR = 20;
    private static final long RETRY_DELAY_MILLIS = 200;
    private static final long DRAIN_TIMEOUT_MILLIS = 20_000;

    private final LoadOptions options;
    private final LoadResults results = new LoadResults();
    private final List<LoadClient> clients = new ArrayList<>();
    private volatile long measureFromNanos;
    private final AtomicLong pendingCalls = new AtomicLong();
    private final AtomicLong lastAnswerNanos = new AtomicLong();

    public LoadGenerator(LoadOptions options) {
        this.options = options;
    }

    /** Runs the load and prints the results; returns whether every answer was right. */
    public boolean run(PrintStream out) throws IOException, InterruptedException {
        EventLoopGroup group =
                new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
        for (EventExecutor executor : group) {
            clients.add(new LoadClient((EventLoop) executor));
        }
        long start = System.nanoTime();
        measureFromNanos = start + TimeUnit.SECONDS.toNanos(options.warmupSeconds());
        sendCalls(start);
        long waitUntil = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_TIMEOUT_MILLIS);
        while (pendingCalls.get() > 0 && System.nanoTime() < waitUntil) {
            Thread.sleep(10);
        }
        double seconds = (lastAnswerNanos.get() - start) / 1e9;
        results.print(out, seconds);
        if (!options.csvFile().isEmpty()) {
            results.writeCsv(Path.of(options.csvFile()));
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        boolean allAnswered = pendingCalls.get() == 0;
        if (!allAnswered) {
            out.printf("%d calls have no answer%n", pendingCalls.get());
        }
        return allAnswered && results.incorrect.get() == 0 && results.connectionFailures.get() == 0;
    }

    private void sendCalls(long start) {
        SplittableRandom random = new SplittableRandom(options.seed());
        long count =
                (long) (options.callsPerSecond() * (options.warmupSeconds() + options.seconds()));
        for (long number = 0; number < count; number++) {
            long due = start + (long) (number * 1e9 / options.callsPerSecond());
            parkUntil(due);
            LoadCall call = createCall(random, number, due);
            LoadClient client = clients.get((int) (number % clients.size()));
            pendingCalls.incrementAndGet();
            results.sent.incrementAndGet();
            client.eventLoop().execute(() -> sendAttempt(client, call, (int) call.dueNanos & 0xff));
        }
    }

    private static void parkUntil(long due) {
        long wait = due - System.nanoTime();
        while (wait > 0) {
            LockSupport.parkNanos(wait);
            wait = due - System.nanoTime();
        }
    }

    private LoadCall createCall(SplittableRandom random, long number, long due) {
        String bearer = options.bearerKeys().get((int) (number % options.bearerKeys().size()));
        double kind = random.nextDouble();
        if (kind < options.servicePostShare()) {
            return LoadCall.createServicePost(options, bearer, number, due);
        }
        boolean longPrompt = random.nextDouble() < options.longPromptShare();
        int chars = longPrompt ? options.promptChars() * LONG_PROMPT_FACTOR : options.promptChars();
        boolean direct = !options.directTarget().isEmpty() && number % 2 == 1;
        return LoadCall.createChat(options, bearer, number, chars, direct, due);
    }

    private void sendAttempt(LoadClient client, LoadCall call, int offset) {
        int index = (offset + call.retryCount) % options.targets().size();
        String target = call.direct ? options.directTarget() : options.targets().get(index);
        client.send(target, call, new CallListener(client, call, offset));
    }

    private final class CallListener implements LoadClient.Listener {
        private final LoadClient client;
        private final LoadCall call;
        private final int firstTargetIndex;
        private long lastContentNanos;

        CallListener(LoadClient client, LoadCall call, int offset) {
            this.client = client;
            this.call = call;
            this.firstTargetIndex = offset;
        }

        private void recordLatency(String measure, long nanos) {
            if (call.dueNanos >= measureFromNanos) {
                results.record(histogramName(measure), nanos);
            }
        }

        private String histogramName(String measure) {
            String side = call.direct ? " direct" : "";
            return (call.servicePost ? "posting " : "chat ") + measure + side;
        }

        @Override
        public void onContent(boolean first) {
            long now = System.nanoTime();
            if (first) {
                recordLatency("first", now - call.dueNanos);
            } else {
                recordLatency("between", now - lastContentNanos);
            }
            lastContentNanos = now;
        }

        @Override
        public void onResponse(int status, String code, String body) {
            if (status >= 300) {
                results.recordRefusal(code.isEmpty() ? "status " + status : code);
                boolean again = status == 503 || status == 409;
                if (again && scheduleRetry()) {
                    return;
                }
                complete();
                return;
            }
            recordLatency("whole", System.nanoTime() - call.dueNanos);
            if (call.isCorrect(body)) {
                results.correct.incrementAndGet();
                results.tokens.addAndGet(call.expectedContent.length() / 4);
            } else if (!body.endsWith("[DONE]\n\n") && !call.servicePost && scheduleRetry()) {
                return;
            } else {
                results.incorrect.incrementAndGet();
            }
            complete();
        }

        @Override
        public void onConnectionFailure() {
            if (!scheduleRetry()) {
                results.connectionFailures.incrementAndGet();
                complete();
            }
        }

        private boolean scheduleRetry() {
            if (call.retryCount >= options.maxRetries()) {
                return false;
            }
            call.retryCount++;
            results.retries.incrementAndGet();
            client.eventLoop()
                    .schedule(
                            () -> sendAttempt(client, call, firstTargetIndex),
                            RETRY_DELAY_MILLIS,
                            TimeUnit.MILLISECONDS);
            return true;
        }

        private void complete() {
            lastAnswerNanos.set(System.nanoTime());
            pendingCalls.decrementAndGet();
        }
    }
}
