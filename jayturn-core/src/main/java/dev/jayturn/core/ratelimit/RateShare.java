package dev.jayturn.core.ratelimit;

import dev.jayturn.core.transport.Message;
import java.util.List;

/** What upstreams have said about their rate limits; repeats are harmless. */
public record RateShare(String from, List<RateStatement> statements) implements Message {}
