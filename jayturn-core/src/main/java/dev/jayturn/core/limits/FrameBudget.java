package dev.jayturn.core.limits;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the memory that the unfinished messages of all connections to one address occupy together.
 *
 * <p>The load that this answers: many connections of strangers that each begin a message and do not
 * finish it. Above the capacity connections are closed, first those that have never delivered a
 * message, and of these the one that has waited longest for its next bytes. The connection that
 * received last is spared, so that a single long message arrives whatever its length.
 */
public final class FrameBudget {
    private final long capacityBytes;
    private final Set<Claim> strangers = new LinkedHashSet<>();
    private final Set<Claim> senders = new LinkedHashSet<>();
    private long heldBytes;

    /** The unfinished message of one connection. */
    public final class Claim {
        private final Runnable onClosed;
        private long bytes;
        private boolean hasDelivered;

        private Claim(Runnable onClosed) {
            this.onClosed = onClosed;
        }

        /** Called when the connection has delivered a message. */
        public void onDelivered() {
            strangers.remove(this);
            hasDelivered = true;
        }

        /**
         * Sets the number of bytes that are held after some were received, which may have other
         * connections closed.
         */
        public void onReceived(long newBytes) {
            release();
            bytes = newBytes;
            heldBytes += newBytes;
            if (newBytes > 0) {
                (hasDelivered ? senders : strangers).add(this);
            }
            closeOthers(this);
        }

        /** Gives all of it back. */
        public void release() {
            strangers.remove(this);
            senders.remove(this);
            heldBytes -= bytes;
            bytes = 0;
        }
    }

    /** Creates a budget of which nothing is held. */
    public FrameBudget(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /**
     * Returns the claim of a connection, which holds nothing.
     *
     * @param onClosed called when the connection has to be closed; the claim is released already
     */
    public Claim open(Runnable onClosed) {
        return new Claim(onClosed);
    }

    private void closeOthers(Claim receiver) {
        closeOthers(strangers, receiver);
        closeOthers(senders, receiver);
    }

    private void closeOthers(Set<Claim> claims, Claim receiver) {
        while (heldBytes > capacityBytes && !claims.isEmpty()) {
            // The one that received just now is the last of its set.
            Claim oldest = claims.iterator().next();
            if (oldest == receiver) {
                return;
            }
            oldest.release();
            oldest.onClosed.run();
        }
    }
}
