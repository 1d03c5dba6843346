package dev.jayturn.core.quarantine;

import java.util.List;

/** What speaks for and against a prompt part. */
public record PartEvidence(String part, List<UpstreamEnd> ends) {}
