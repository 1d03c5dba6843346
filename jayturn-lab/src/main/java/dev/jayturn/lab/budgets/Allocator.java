package dev.jayturn.lab.budgets;

/** Splits budgets among data centres and admits or refuses requests against them. */
interface Allocator {
    /** Receives the decision on a request. */
    interface AdmissionCallback {
        /** Called once with whether the request was admitted. */
        void onDecision(boolean admitted);
    }

    /** Reserves a request's tokens and reports whether the request was admitted. */
    void reserve(long id, Arrival arrival, AdmissionCallback callback);

    /** Settles an admitted request with the tokens that it used. */
    void settle(long id, Arrival arrival);

    /** Starts or ends the partition of {@link DemandPlan#PARTITIONED_DATA_CENTRE}. */
    void setPartitioned(boolean partitioned);

    /** Returns the number of messages sent so far. */
    long messageCount();
}
