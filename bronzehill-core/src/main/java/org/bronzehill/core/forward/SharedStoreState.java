package org.bronzehill.core.forward;

import java.time.Duration;
import org.bronzehill.core.time.TimeSource;

/**
 * State of the platform's store that the instances of a large fleet exchange, so that only the
 * collectors need to watch the store: the newest position with a relevant change, and whether the
 * store responds. A change is relevant if every instance must read it soon: a newer configuration
 * or adapter version, a new or removed upstream, or a change of a record on which routing depends.
 * The changes are not part of it: an instance that receives a newer position reads them from the
 * store.
 */
public final class SharedStoreState {

    /** Time for which a digest is valid: two repetition intervals and the time of two ticks. */
    private static final Duration DIGEST_LIFETIME =
            LoadDigests.REPEAT_INTERVAL.multipliedBy(2).plusMillis(200);

    /**
     * Time for which a recovery of the store is reported: about the time in which lapsed records
     * are published again.
     */
    private static final Duration RECOVERY_REPORT_TIME = Duration.ofSeconds(3);

    private static final long NEVER = Long.MIN_VALUE;

    private final TimeSource time;
    private StorePosition ownPosition = StorePosition.NONE;
    private boolean responding;
    private StorePosition peerPosition = StorePosition.NONE;
    private boolean storeRespondingToCollector;
    private long collectorDigestAt;
    private long recoveredAt = NEVER;
    private StorePosition readPosition = StorePosition.NONE;
    private long currentAt;
    private long confirmedAt;
    private long confirmationWantedAt;

    /** Creates the state of an instance that has not read the store. */
    public SharedStoreState(TimeSource time) {
        this.time = time;
        this.collectorDigestAt = time.nanoTime();
        this.currentAt = collectorDigestAt;
        this.confirmedAt = collectorDigestAt;
        this.confirmationWantedAt = collectorDigestAt;
    }

    /**
     * Records an answer of the store to this instance.
     *
     * @param relevant whether it contained a relevant change; the complete contents count as one
     */
    public void onRead(StorePosition position, boolean relevant) {
        responding = true;
        currentAt = time.nanoTime();
        readPosition = readPosition.orLater(position);
        if (relevant) {
            ownPosition = ownPosition.orLater(position);
        }
    }

    /** Records that the store does not respond to this instance. */
    public void onReadFailed() {
        responding = false;
    }

    /** Records that the store responds to this instance again after an outage. */
    void onRecovered() {
        recoveredAt = time.nanoTime();
    }

    /** Returns the time since the store recovered, in ms; 0 if it has not recovered recently. */
    int millisSinceRecovery() {
        long age = time.nanoTime() - recoveredAt;
        return recoveredAt == NEVER || age > RECOVERY_REPORT_TIME.toNanos()
                ? 0
                : (int) Math.max(1, age / 1_000_000);
    }

    /** Returns the newest position of a relevant change that other instances have reported. */
    public StorePosition newestPeerPosition() {
        return peerPosition;
    }

    /**
     * Returns whether a collector watches the store for this instance and the store responds to it.
     */
    public boolean isWatchedByCollector() {
        return storeRespondingToCollector
                && time.nanoTime() - collectorDigestAt <= DIGEST_LIFETIME.toNanos();
    }

    /** Returns the newest position of a relevant change that is known here. */
    StorePosition newestPosition() {
        return ownPosition.orLater(peerPosition);
    }

    /** Returns whether the store has answered the last call of this instance. */
    public boolean isResponding() {
        return responding;
    }

    /**
     * Records a recovery of the store that this instance's collector has reported.
     *
     * @return whether the recovery was not known yet
     */
    boolean onRecoveryReported(int millisAgo) {
        boolean isNew = millisAgo > 0 && millisSinceRecovery() == 0;
        if (isNew) {
            recoveredAt = time.nanoTime() - Duration.ofMillis(millisAgo).toNanos();
        }
        return isNew;
    }

    /**
     * Updates the state from a collector's digest.
     *
     * @param position newest position that the collector knows; without an era, its revision counts
     *     for the newest era known here
     * @param fromOwnCollector whether the digest is from the collector to which this instance
     *     reports
     */
    void onDigest(StorePosition position, boolean storeResponding, boolean fromOwnCollector) {
        boolean hasEra = position.era() > 0;
        long era = hasEra ? position.era() : newestPosition().era();
        peerPosition = peerPosition.orLater(new StorePosition(era, position.revision()));
        if (fromOwnCollector) {
            storeRespondingToCollector = storeResponding;
            collectorDigestAt = time.nanoTime();
            if (storeResponding && !peerPosition.isAfter(readPosition)) {
                currentAt = collectorDigestAt;
            }
        }
    }

    /**
     * Asks for a call of the store that begins from now on and returns all changes up to then: what
     * was read before may be out of date without notice, after a standstill of the process for
     * example.
     */
    public void requestConfirmation() {
        confirmationWantedAt = time.nanoTime();
    }

    /** Returns whether a call is wanted that has not been answered yet. */
    public boolean isConfirmationWanted() {
        return confirmationWantedAt - confirmedAt > 0;
    }

    /**
     * Records that all changes up to a time have been read.
     *
     * @param calledAt monotonic time at which the call was sent that has returned them
     */
    public void onConfirmed(long calledAt) {
        if (calledAt - confirmedAt > 0) {
            confirmedAt = calledAt;
        }
    }

    /** Returns whether all changes up to a monotonic time have certainly been read. */
    public boolean isConfirmedUpTo(long nanos) {
        return confirmedAt - nanos >= 0;
    }

    /**
     * Returns the time in ms since the contents of the store that were read here were last known to
     * be current: by an answer of the store, or by a collector that knew of no newer change.
     */
    public long millisSinceCurrent() {
        return (time.nanoTime() - currentAt) / 1_000_000;
    }
}
