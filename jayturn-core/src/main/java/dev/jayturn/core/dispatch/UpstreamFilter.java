package dev.jayturn.core.dispatch;

import dev.jayturn.core.result.ResultCode;

/** A condition that an upstream has to meet before a request may be sent to it. */
public interface UpstreamFilter {
    /** Returns whether the request may be sent to the upstream. */
    boolean admits(Dispatcher.Query query, UpstreamLoad upstream);

    /** Returns the reason of a refusal if no upstream meets the condition. */
    ResultCode refusal();
}
