package dev.jayturn.core.consensus;

/**
 * A member of the cluster.
 *
 * @param id name of the instance, #, and the identity of its store
 * @param voter whether the member votes; a learner only replicates the log
 */
public record Member(String id, boolean voter) {}
