package dev.jayturn.daemon.journal;

import dev.jayturn.core.result.ResultCode;
import java.nio.file.Path;

/** Thrown when valid records follow a damaged one in a journal. */
public final class JournalCorruptException extends Exception {
    private static final long serialVersionUID = 1L;

    JournalCorruptException(Path file, long offset) {
        super(
                ResultCode.JOURNAL_CORRUPT.number()
                        + " "
                        + ResultCode.JOURNAL_CORRUPT.text()
                        + ": "
                        + file
                        + " at byte "
                        + offset);
    }
}
