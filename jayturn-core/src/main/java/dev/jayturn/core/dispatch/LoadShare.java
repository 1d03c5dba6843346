package dev.jayturn.core.dispatch;

import dev.jayturn.core.transport.Message;
import java.util.List;

/** All work that an entry instance has in flight; replaces the sender's previous share. */
public record LoadShare(String from, List<UpstreamWork> work) implements Message {}
