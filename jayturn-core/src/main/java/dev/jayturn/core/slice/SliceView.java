package dev.jayturn.core.slice;

/**
 * One customer's slice as a decision saw it.
 *
 * @param free tokens that are not spent, reserved or given away
 * @param belowMark tokens that the mark allows beyond what was drawn
 * @param leased whether the mark binds
 * @param budgetRemaining tokens left anywhere, as last heard
 */
public record SliceView(long free, long belowMark, boolean leased, long budgetRemaining) {}
