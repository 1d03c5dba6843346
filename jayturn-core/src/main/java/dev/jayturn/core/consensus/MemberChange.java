package dev.jayturn.core.consensus;

import java.util.List;

/** Replaces the list of members; the new list differs from the previous one in one member. */
public record MemberChange(List<Member> members) implements Command {}
