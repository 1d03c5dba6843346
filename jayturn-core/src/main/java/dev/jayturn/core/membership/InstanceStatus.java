package dev.jayturn.core.membership;

/** A subscribed instance and the rules version that it last reported. */
public record InstanceStatus(String instance, String dataCentre, long rulesVersion) {}
