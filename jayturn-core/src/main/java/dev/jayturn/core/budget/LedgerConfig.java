package dev.jayturn.core.budget;

/**
 * Configuration of a ledger.
 *
 * @param id the ledger's identity: its instance, #, and the identity of its store
 * @param controlInstance the control instance that grants are pulled from, usually the one that
 *     runs this ledger
 * @param incarnationLeaseMillis time without a message after which an incarnation is sealed
 * @param askTimeoutMillis maximum wait for answers of the other ledgers and the control log
 */
public record LedgerConfig(
        String id, String controlInstance, long incarnationLeaseMillis, long askTimeoutMillis) {}
