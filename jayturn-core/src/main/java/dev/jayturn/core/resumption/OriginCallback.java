package dev.jayturn.core.resumption;

/** Receives the result of a search for the origin of a stream, once. */
public interface OriginCallback {
    /** Called with the origin, which may be one that no upstream can continue. */
    void onFound(StreamOrigin origin);

    /**
     * Called if no instance that was asked has a record.
     *
     * @param isCertain whether all of them have answered
     */
    void onNotFound(boolean isCertain);
}
