package dev.jayturn.daemon.proxy;

/** A request head that cannot be read. */
public final class MalformedRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    public MalformedRequestException(String header) {
        super("cannot read " + header);
    }
}
