package dev.jayturn.core.rules;

import dev.jayturn.core.transport.Message;

/**
 * One part of an update from one version of the rules to another.
 *
 * @param fromVersion version that the update applies to; 0 if it holds all rules
 * @param toVersion version after the last part was applied
 * @param delta the changes in this part
 * @param last whether this is the last part of the update
 */
public record RulesUpdate(long fromVersion, long toVersion, RuleDelta delta, boolean last)
        implements Message {}
