package dev.jayturn.core.quarantine;

import java.util.List;

/**
 * A request that an upstream broke off.
 *
 * @param request fingerprint of the request
 * @param parts ids of the parts of its prompt that other prompts may share
 * @param upstream id and incarnation of the upstream
 * @param beforeAnEvent whether a response had begun, without an event
 * @param ranMillis time since the response began, or since the request was sent if it did not
 * @param sentMillis time when the request was sent
 */
public record CutOff(
        String request,
        List<String> parts,
        String upstream,
        boolean beforeAnEvent,
        long ranMillis,
        long sentMillis) {}
