package dev.jayturn.core.fleet;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.transport.Message;
import java.util.List;

/** Heartbeats that a control instance forwards to the other control instances. */
public record HeartbeatShare(List<Heartbeat> heartbeats) implements Message {}
