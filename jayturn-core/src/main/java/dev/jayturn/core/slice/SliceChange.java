package dev.jayturn.core.slice;

import dev.jayturn.core.consensus.Command;
import java.util.List;

/**
 * Command that changes the slices of all holders at once, so that the growth of the control log
 * does not depend on the number of holders.
 *
 * @param retirements holders whose incarnation is known to have ended; the tokens that they may
 *     have drawn count as spent
 */
public record SliceChange(
        List<SliceReturn> returns,
        List<SliceRetirement> retirements,
        List<SliceLease> leases,
        List<SliceMark> marks,
        List<SliceIssue> issues)
        implements Command {
    /** Returns whether the command contains no changes. */
    public boolean isEmpty() {
        return returns.isEmpty()
                && retirements.isEmpty()
                && leases.isEmpty()
                && marks.isEmpty()
                && issues.isEmpty();
    }
}
