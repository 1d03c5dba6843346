package dev.jayturn.core.dispatch;

/** A part of a prompt that other requests may share, in the order of the prompt. */
public record PromptPart(String id, long tokens) {}
