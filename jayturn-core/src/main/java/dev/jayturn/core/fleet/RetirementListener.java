package dev.jayturn.core.fleet;

import dev.jayturn.core.slice.SliceLease;
import dev.jayturn.core.slice.SliceRetirement;
import org.jspecify.annotations.Nullable;

/** Learns on the leader of holders that are retired because another incarnation replaced them. */
public interface RetirementListener {
    /**
     * Called when the leader proposes to retire a holder.
     *
     * @param lease the holder's lease, null if it has none
     * @param withinLease whether the holder counts as having spent no more than its marks
     */
    void onRetirement(SliceRetirement retirement, @Nullable SliceLease lease, boolean withinLease);
}
