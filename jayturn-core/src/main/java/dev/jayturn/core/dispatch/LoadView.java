package dev.jayturn.core.dispatch;

/** How this instance learns of the work that the others have in flight. */
public interface LoadView {
    /** Instances tell each other of their work soon after it changes. */
    LoadView DIRECT = () -> false;

    /** Returns whether the work is known from sums, which are of an earlier time. */
    boolean isShared();
}
