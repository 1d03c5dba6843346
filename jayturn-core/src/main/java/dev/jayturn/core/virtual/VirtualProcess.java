package dev.jayturn.core.virtual;

import dev.jayturn.core.timer.Cancellable;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import java.util.function.BiConsumer;

/**
 * One run of a simulated process, from start to crash. After the crash no timer fires and no
 * message is delivered.
 */
public final class VirtualProcess implements TimerService, Transport {
    private final String name;
    private final VirtualTime time;
    private final VirtualNetwork network;
    private BiConsumer<String, Message> messageHandler = (to, message) -> {};
    private boolean running = true;
    private long pausedUntilMillis;

    public VirtualProcess(String name, VirtualTime time, VirtualNetwork network) {
        this.name = name;
        this.time = time;
        this.network = network;
        network.attach(name, this);
    }

    /** Sets the handler of messages, which also gets the name that each message was sent to. */
    public void onMessage(BiConsumer<String, Message> handler) {
        messageHandler = handler;
    }

    /** Crashes the process; all its pending tasks are dropped. */
    public void crash() {
        running = false;
    }

    /** Returns whether the process has not crashed. */
    public boolean isRunning() {
        return running;
    }

    /** Pauses the process; tasks and messages due during the pause are processed after it. */
    public void pause(long millis) {
        pausedUntilMillis = time.nowMillis() + millis;
    }

    /** Delivers a message from the network. */
    public void receive(String to, Message message) {
        run(() -> messageHandler.accept(to, message));
    }

    /** Runs a task on the process: after the pause if it is paused, never if it has crashed. */
    public void run(Runnable task) {
        if (!running) {
            return;
        }
        if (time.nowMillis() < pausedUntilMillis) {
            time.schedule(pausedUntilMillis - time.nowMillis(), () -> run(task));
            return;
        }
        task.run();
    }

    @Override
    public long nowMillis() {
        return time.nowMillis();
    }

    @Override
    public Cancellable schedule(long delayMillis, Runnable task) {
        boolean[] cancelled = new boolean[1];
        Runnable unlessCancelled =
                () -> {
                    if (!cancelled[0]) {
                        task.run();
                    }
                };
        time.schedule(delayMillis, () -> run(unlessCancelled));
        return () -> cancelled[0] = true;
    }

    @Override
    public void send(String to, Message message) {
        network.send(name, to, message);
    }
}
