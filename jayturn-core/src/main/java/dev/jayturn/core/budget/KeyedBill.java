package dev.jayturn.core.budget;

/**
 * The bill of a call that has an idempotency key.
 *
 * @param key the customer, the idempotency key and the request's fingerprint
 */
public record KeyedBill(String intentId, String key) {}
