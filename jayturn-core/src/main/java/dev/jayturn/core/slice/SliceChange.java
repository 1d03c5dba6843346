package dev.jayturn.core.slice;

import dev.jayturn.core.consensus.Command;
import java.util.List;

/**
 * Changes the slices; one command for all holders, so that the log grows with time, not with them.
 *
 * @param retired holders that are proven dead; what they held counts as spent
 */
public record SliceChange(List<SliceReturn> returns, List<String> retired, List<SliceIssue> issues)
        implements Command {}
