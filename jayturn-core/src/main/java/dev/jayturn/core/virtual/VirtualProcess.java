package dev.jayturn.core.virtual;

import dev.jayturn.core.timer.Cancellable;
import dev.jayturn.core.timer.TimerService;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import java.util.function.BiConsumer;

/** One life of a process: once it is dead none of its timers fire and nothing reaches it. */
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

    /** Sets who takes messages, with the name that each was sent to. */
    public void onMessage(BiConsumer<String, Message> handler) {
        messageHandler = handler;
    }

    /** Ends this life; nothing of it happens any more. */
    public void crash() {
        running = false;
    }

    /** Returns whether this life goes on. */
    public boolean isRunning() {
        return running;
    }

    /** Freezes the process: what was due in the meantime happens afterwards. */
    public void pause(long millis) {
        pausedUntilMillis = time.nowMillis() + millis;
    }

    /** Takes a message from the network. */
    public void receive(String to, Message message) {
        run(() -> messageHandler.accept(to, message));
    }

    /** Runs a task on the process, unless it is dead; later if it is frozen. */
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
        Runnable guarded =
                () -> {
                    if (!cancelled[0]) {
                        task.run();
                    }
                };
        time.schedule(delayMillis, () -> run(guarded));
        return () -> cancelled[0] = true;
    }

    @Override
    public void send(String to, Message message) {
        network.send(name, to, message);
    }
}
