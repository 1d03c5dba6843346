package dev.jayturn.core.quarantine;

/**
 * The end of an upstream while it ran a request.
 *
 * @param upstream id and incarnation of the upstream
 * @param ageMillis time since the end, when the message was sent
 * @param cleared whether a later response to the request, or to a prompt with the part, was
 *     complete
 * @param request fingerprint of the request
 * @param sentAgeMillis time since the request was sent to the upstream, when the message was sent
 * @param circumstantial whether it is not known that the upstream had begun to respond and had sent
 *     no event; false in the messages of instances that do not record such ends of parts
 */
public record UpstreamEnd(
        String upstream,
        long ageMillis,
        boolean cleared,
        String request,
        long sentAgeMillis,
        boolean circumstantial) {}
