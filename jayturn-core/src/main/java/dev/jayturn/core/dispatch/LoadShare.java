package dev.jayturn.core.dispatch;

import dev.jayturn.core.transport.Message;
import java.util.List;

/** All that an entry instance has under way; it replaces what the sender said before. */
public record LoadShare(String from, List<UpstreamWork> work) implements Message {}
