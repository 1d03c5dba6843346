package dev.jayturn.core.dispatch;

import dev.jayturn.core.result.ResultCode;

/** A condition that an upstream has to meet before a request may be sent to it. */
public interface UpstreamFilter {
    /** Returns whether the request may be sent to the upstream. */
    boolean admits(Dispatcher.Query query, UpstreamLoad upstream);

    /** Returns whether the condition may exclude any upstream now; if not, all are admitted. */
    default boolean isRestrictive(Dispatcher.Query query) {
        return true;
    }

    /** Returns the reason of a refusal if no upstream meets the condition. */
    ResultCode refusal();
}
