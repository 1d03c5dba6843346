package dev.jayturn.daemon.upstream;

/** Why a response of an upstream was not accepted, or not to its end. */
public enum ResponseFault {
    /** No fault was found. */
    NONE,
    /** The head holds the status line of another response. */
    MERGED_HEAD,
    /** The protocol or its version is another one. */
    WRONG_VERSION,
    /** The status is out of range, or switches protocols. */
    WRONG_STATUS,
    /** The body has a transfer coding other than chunked. */
    UNKNOWN_CODING,
    /** The head does not show which request it answers. */
    UNIDENTIFIED,
    /** The body holds the head of another response. */
    EMBEDDED_HEAD,
    /** The bytes cannot be parsed as a response. */
    UNREADABLE,
    /** Too much was sent that belongs to other requests. */
    EXCESS,
    /** The connection was closed before the end of the response. */
    CLOSED,
    /** The connection was reset after its orderly end. */
    RESET
}
