package dev.jayturn.core.limits;

import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Bounds the memory that the heads of the requests of all connections occupy together.
 *
 * <p>The load that this answers: many connections whose heads consist of a great number of very
 * short lines, each of which occupies many times its length. Heads of an ordinary size are not
 * charged, and are bounded by the number of connections. If the others exceed the capacity, the
 * largest request that is not running yet is refused, and of several of the same size the newest. A
 * caller with a smaller head is therefore served beside them.
 */
public final class HeadBudget {
    /** Bytes that each head may occupy without being charged. */
    public static final int FREE_BYTES = 8 * 1_024;

    private final long capacityBytes;
    private final Set<Claim> charged = new LinkedHashSet<>();
    private long chargedBytes;

    /** The connection that a head arrives on. */
    public interface Holder {
        /** Returns whether it is certain that the request was not run and will not be. */
        boolean mayBeRefused();

        /** Called when the request has to be given up. It has released its claim already. */
        void onRefused();
    }

    /** The memory of one request. */
    public final class Claim {
        private final Holder holder;
        private long bytes;

        private Claim(Holder holder) {
            this.holder = holder;
        }

        /**
         * Sets the number of bytes that the head occupies, which may have some requests refused,
         * also this one.
         */
        public void resize(long occupiedBytes) {
            long before = bytes;
            bytes = Math.max(0, occupiedBytes - FREE_BYTES);
            chargedBytes += bytes - before;
            if (bytes == 0) {
                charged.remove(this);
            } else if (before == 0) {
                charged.add(this);
            }
            if (bytes > before) {
                refuseLargest();
            }
        }

        /** Gives all of it back. */
        public void release() {
            resize(0);
        }
    }

    /**
     * Creates a budget of which nothing is claimed.
     *
     * @param capacityBytes bound on what all heads occupy beyond {@link #FREE_BYTES} of each
     */
    public HeadBudget(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /** Returns a claim of no bytes. */
    public Claim open(Holder holder) {
        return new Claim(holder);
    }

    /** Returns the number of bytes that are charged. */
    public long chargedBytes() {
        return chargedBytes;
    }

    private void refuseLargest() {
        while (chargedBytes > capacityBytes) {
            Claim largest = largest();
            if (largest == null) {
                return;
            }
            largest.release();
            largest.holder.onRefused();
        }
    }

    private @Nullable Claim largest() {
        Claim largest = null;
        for (Claim claim : charged) {
            boolean isLarger = largest == null || claim.bytes >= largest.bytes;
            if (isLarger && claim.holder.mayBeRefused()) {
                largest = claim;
            }
        }
        return largest;
    }
}
