package dev.jayturn.core.quarantine;

/**
 * The end of an upstream while it began a response to a prompt.
 *
 * @param upstream id and incarnation of the upstream
 * @param ageMillis time since the end, when the message was sent
 * @param cleared whether a later response to a prompt with the same part was complete
 */
public record UpstreamEnd(String upstream, long ageMillis, boolean cleared) {}
