package dev.jayturn.core.timer;

final class PeriodicTimer implements Cancellable {
    private final TimerService timers;
    private final long periodMillis;
    private final Runnable task;
    private Cancellable next;
    private boolean cancelled;

    PeriodicTimer(TimerService timers, long periodMillis, Runnable task) {
        this.timers = timers;
        this.periodMillis = periodMillis;
        this.task = task;
        this.next = timers.schedule(periodMillis, this::fire);
    }

    @Override
    public void cancel() {
        cancelled = true;
        next.cancel();
    }

    private void fire() {
        if (cancelled) {
            return;
        }
        next = timers.schedule(periodMillis, this::fire);
        task.run();
    }
}
