package dev.jayturn.core.resumption;

import dev.jayturn.core.transport.Message;
import java.util.List;

/** Origins of streams that an entry instance has begun; repeats are harmless. */
public record OriginShare(List<OriginRecord> records) implements Message {}
