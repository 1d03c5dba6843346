package dev.jayturn.core.quarantine;

import java.util.List;

/**
 * What speaks for and against a suspect.
 *
 * @param part id of a prompt part, or fingerprint of a request
 */
public record PartEvidence(String part, List<UpstreamEnd> ends) {}
