package org.bronzehill.core.engine;

import org.bronzehill.core.model.AdapterVersion;

/** What the holder believes about one handle on the engine. */
final class AdapterHandle {

    /** Progress of a handle between load and eviction. */
    enum Status {
        /** A load order has been sent, or a report shows the handle loading. */
        LOADING,
        /** The answer to the load order was lost. */
        LOAD_UNKNOWN,
        RESIDENT,
        /** The intent to evict was announced; the handle is not used again. */
        INTENT_ANNOUNCED,
        EVICT_ORDERED,
        /** The answer to the evict order was lost; the order may still arrive. */
        EVICT_UNKNOWN
    }

    /** Decisive stamp of an event that happened before the first report. */
    static final long NO_STAMP = -1;

    private final String name;
    private final AdapterVersion version;
    private final boolean ownEpoch;
    private final boolean inheritedIntent;
    private Status status;
    private int uses;

    /** Set once a report after the takeover wait has shown no request of an earlier holder. */
    boolean earlierRequestsEnded;

    /** Set while the engine says that it does not know the handle although requests run on it. */
    boolean unknownToEngine;

    /**
     * Set when an attempt ended without proof that the engine stopped running it. The handle is not
     * evicted until a later report shows no running request.
     */
    boolean mayStillRun;

    /** Stamp of the report that may clear {@link #mayStillRun}. */
    long mayStillRunUntilStamp;

    /** Order in progress; 0 if there is none. */
    long orderId;

    /** Monotonic time of the last change of status or of the last repeated message. */
    long changedNanos;

    /** A report must be stamped later than this to contradict the last change. */
    long staleUntilStamp;

    /**
     * Creates a handle.
     *
     * @param version null if the name is not of the form that holders use
     */
    AdapterHandle(
            String name,
            AdapterVersion version,
            boolean ownEpoch,
            boolean inheritedIntent,
            Status status) {
        this.name = name;
        this.version = version;
        this.ownEpoch = ownEpoch;
        this.inheritedIntent = inheritedIntent;
        this.status = status;
    }

    String name() {
        return name;
    }

    AdapterVersion version() {
        return version;
    }

    boolean ownEpoch() {
        return ownEpoch;
    }

    boolean inheritedIntent() {
        return inheritedIntent;
    }

    Status status() {
        return status;
    }

    void status(Status newStatus, long nowNanos, long newStaleUntilStamp) {
        status = newStatus;
        changedNanos = nowNanos;
        staleUntilStamp = newStaleUntilStamp;
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
