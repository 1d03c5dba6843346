package dev.jayturn.core.budget;

/**
 * What a ledger is told at start.
 *
 * @param name this ledger's instance, then #, then the identity of its store
 * @param controlInstance the control instance that grants are pulled from, usually this one
 * @param incarnationLeaseMillis time without a sign of life after which an incarnation is sealed
 * @param askTimeoutMillis longest wait for other ledgers' answers
 */
public record LedgerConfig(
        String name, String controlInstance, long incarnationLeaseMillis, long askTimeoutMillis) {}
