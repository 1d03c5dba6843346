package dev.jayturn.core.dispatch;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id equal for parts with the same content
 */
public record PromptPart(String id, long tokens) {}
