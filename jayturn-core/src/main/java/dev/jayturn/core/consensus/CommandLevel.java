package dev.jayturn.core.consensus;

/**
 * Levels of the commands that a build can apply. A member of an earlier build cannot read a later
 * command and receives no entry after it, so a leader proposes such a command only once the members
 * can apply it.
 */
public final class CommandLevel {
    /** The commands of builds that do not name their level. */
    public static final int BASIC = 0;

    /** Orders to empty a data centre and to take it back. */
    public static final int EVACUATION = 1;

    /** The level of this build. */
    public static final int CURRENT = EVACUATION;

    private CommandLevel() {}
}
