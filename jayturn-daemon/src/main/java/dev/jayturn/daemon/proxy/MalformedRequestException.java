package dev.jayturn.daemon.proxy;

/** Thrown when a header of a request cannot be parsed. */
public final class MalformedRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for the named header. */
    public MalformedRequestException(String header) {
        super("cannot parse header " + header);
    }
}
