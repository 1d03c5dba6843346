package dev.jayturn.core.fleet;

import dev.jayturn.core.directory.Heartbeat;
import dev.jayturn.core.transport.Message;
import java.util.List;

/** Heartbeats that one control instance passes on to the others. */
public record HeartbeatShare(List<Heartbeat> heartbeats) implements Message {}
