/**
 * Reserved for the placement of models on upstreams, which reject outdated placements; no code yet.
 */
@NullMarked
package dev.jayturn.core.placement;

import org.jspecify.annotations.NullMarked;
