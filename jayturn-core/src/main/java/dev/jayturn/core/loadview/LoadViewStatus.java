package dev.jayturn.core.loadview;

/**
 * What an instance knows of the load of the fleet.
 *
 * @param instances live entry instances in the last list
 * @param round number of the next report
 * @param known upstreams with the work of the other instances
 * @param unknown upstreams without
 * @param ageMillis age of the oldest work that is known
 */
public record LoadViewStatus(int instances, long round, int known, int unknown, long ageMillis) {}
