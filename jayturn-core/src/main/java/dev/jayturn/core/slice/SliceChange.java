package dev.jayturn.core.slice;

import dev.jayturn.core.consensus.Command;
import java.util.List;

/**
 * Changes the slices; one command for all holders, so that the log grows with time, not with them.
 *
 * @param retirements holders that are proven dead; what they may have drawn counts as spent
 */
public record SliceChange(
        List<SliceReturn> returns,
        List<SliceRetirement> retirements,
        List<SliceLease> leases,
        List<SliceMark> marks,
        List<SliceIssue> issues)
        implements Command {
    /** Returns whether nothing would change. */
    public boolean isEmpty() {
        return returns.isEmpty()
                && retirements.isEmpty()
                && leases.isEmpty()
                && marks.isEmpty()
                && issues.isEmpty();
    }
}
