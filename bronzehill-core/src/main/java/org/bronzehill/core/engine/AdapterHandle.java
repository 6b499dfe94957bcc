package org.bronzehill.core.engine;

import org.bronzehill.core.model.AdapterVersion;

/**
 * State of one handle on the engine, as known to the lease holder from its orders and the engine's
 * reports. A handle is the name under which a lease holder loads an adapter version, see {@link
 * AdapterVersion#handle}.
 */
final class AdapterHandle {

    /** Life cycle of a handle between load and eviction. */
    enum Status {
        /** A load order was sent, or a report shows that the handle is loading. */
        LOADING,
        /** The outcome of the load order is unknown because its answer was lost. */
        LOAD_UNKNOWN,
        RESIDENT,
        /** The intent to evict was announced; the handle gets no new requests. */
        INTENT_ANNOUNCED,
        EVICT_ORDERED,
        /**
         * The outcome of the evict order is unknown because its answer was lost; the order may
         * still be carried out.
         */
        EVICT_UNKNOWN
    }

    /**
     * Value of a stamp that cannot be determined before the first report. A stamp is the time on
     * the engine's clock, in ms, at which a report was made.
     */
    static final long NO_STAMP = -1;

    private final String name;
    private final AdapterVersion version;

    /** Whether the handle was created under the lease epoch of this scheduler. */
    private final boolean createdUnderThisLease;

    private final boolean inheritedIntent;
    private Status status;
    private int uses;

    /**
     * Set once a report after the takeover wait, or the handover of the previous lease holder, has
     * shown that no request of an earlier holder runs on the handle.
     */
    boolean earlierRequestsEnded;

    /** Set while the engine does not know the handle although requests were started on it. */
    boolean unknownToEngine;

    /**
     * Set when an attempt ended without proof that the engine has stopped it. The handle is not
     * evicted until a later report shows that no request runs on it.
     */
    boolean attemptMayStillRun;

    /** Only reports stamped later than this can clear {@link #attemptMayStillRun}. */
    long attemptEndProvableAfterStamp;

    /** Id of the order in progress; 0 if there is none. */
    long orderId;

    /** Monotonic time of the last change of status or of the last repetition of the intent. */
    long changedNanos;

    /**
     * Reports stamped up to this value may predate the last change of the handle and cannot
     * contradict it.
     */
    long reportsStaleUntilStamp;

    /**
     * Creates a handle.
     *
     * @param version null if the name does not have the form of the handles that lease holders
     *     create
     */
    AdapterHandle(
            String name,
            AdapterVersion version,
            boolean createdUnderThisLease,
            boolean inheritedIntent,
            Status status) {
        this.name = name;
        this.version = version;
        this.createdUnderThisLease = createdUnderThisLease;
        this.inheritedIntent = inheritedIntent;
        this.status = status;
    }

    String name() {
        return name;
    }

    AdapterVersion version() {
        return version;
    }

    boolean createdUnderThisLease() {
        return createdUnderThisLease;
    }

    boolean inheritedIntent() {
        return inheritedIntent;
    }

    Status status() {
        return status;
    }

    void status(Status newStatus, long nowNanos, long newReportsStaleUntilStamp) {
        status = newStatus;
        changedNanos = nowNanos;
        reportsStaleUntilStamp = newReportsStaleUntilStamp;
    }

    int uses() {
        return uses;
    }

    void beginUse() {
        uses++;
    }

    void endUse() {
        if (uses == 0) {
            throw new IllegalStateException("use count of " + name + " would become negative");
        }
        uses--;
    }
}
