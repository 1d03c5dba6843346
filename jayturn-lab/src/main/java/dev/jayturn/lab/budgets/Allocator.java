package dev.jayturn.lab.budgets;

/** A way to split budgets among data centres. */
interface Allocator {
    /** Told once whether a request was admitted. */
    interface AdmissionCallback {
        void onDecision(boolean admitted);
    }

    /** Asks for a request's tokens. */
    void reserve(long id, Arrival arrival, AdmissionCallback answer);

    /** Settles a request that was admitted. */
    void settle(long id, Arrival arrival);

    /** The link to the data centre that is cut breaks or heals. */
    void setPartitioned(boolean broken);

    /** Returns the messages sent so far. */
    long messageCount();
}
