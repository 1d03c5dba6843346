package dev.jayturn.core.quarantine;

import java.util.ArrayList;
import java.util.List;

/**
 * A request that an upstream broke off.
 *
 * @param request fingerprint of the request
 * @param parts ids of the parts of its prompt that other prompts may share
 * @param ownParts ids of the parts that belong to the request or its session
 * @param upstream id and incarnation of the upstream
 * @param responseBegun whether a response had begun
 * @param beforeAnEvent whether a response had begun, without an event
 * @param ranMillis time since the response began, or since the request was sent if it did not
 * @param sentMillis time when the request was sent
 */
public record CutOff(
        String request,
        List<String> parts,
        List<String> ownParts,
        String upstream,
        boolean responseBegun,
        boolean beforeAnEvent,
        long ranMillis,
        long sentMillis) {
    /** Creates a record of a request without a part of its own, whose response had begun. */
    public CutOff(
            String request,
            List<String> parts,
            String upstream,
            boolean beforeAnEvent,
            long ranMillis,
            long sentMillis) {
        this(request, parts, List.of(), upstream, true, beforeAnEvent, ranMillis, sentMillis);
    }

    /** Returns the ids of all parts of the prompt. */
    List<String> allParts() {
        List<String> all = new ArrayList<>(parts);
        all.addAll(ownParts);
        return all;
    }
}
