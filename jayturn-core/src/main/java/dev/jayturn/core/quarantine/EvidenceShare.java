package dev.jayturn.core.quarantine;

import dev.jayturn.core.transport.Message;
import java.util.List;

/**
 * Evidence on suspects that an instance has collected or received; repeats are harmless.
 *
 * @param from address of the instance
 * @param parts the evidence; if empty, the receiver is asked to share all of its own
 */
public record EvidenceShare(String from, List<PartEvidence> parts) implements Message {}
