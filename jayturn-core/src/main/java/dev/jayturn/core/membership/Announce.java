package dev.jayturn.core.membership;

import dev.jayturn.core.transport.Message;

/**
 * Forwards an upstream's announcement to the membership hub, and to peers while no hub answers.
 *
 * @param running requests that the upstream executes
 * @param queued requests that wait at the upstream
 */
public record Announce(Upstream upstream, int running, int queued) implements Message {}
