package dev.jayturn.daemon.api;

import dev.jayturn.core.limits.MemoryBudget;
import dev.jayturn.daemon.head.HeadMemory;

/**
 * Bounds on the requests of one address.
 *
 * @param part name of the address in metrics and logs
 * @param maxBodyBytes length above which a body is not accepted
 * @param keepsBodies whether the handler uses a body until the request is answered
 */
public record ApiLimits(
        String part,
        HeadMemory heads,
        MemoryBudget bodies,
        int maxBodyBytes,
        boolean keepsBodies) {}
