package org.bronzehill.core.forward;

import java.time.Duration;
import org.bronzehill.core.time.TimeSource;

/**
 * What instances of a large fleet tell each other of the platform's store, so that only the
 * collectors need to watch it: up to which revision they have read changes that matter, and whether
 * the store answers them. The changes themselves are read from the store by every instance.
 */
public final class SharedStoreState {

    /** Time for which a digest counts: two repetitions and the time between two ticks. */
    private static final Duration DIGEST_LIFETIME =
            LoadDigests.REPEAT_INTERVAL.multipliedBy(2).plusMillis(200);

    /** Time for which a return of the store is told: about that in which lapsed records return. */
    private static final Duration RECOVERY_REPORT_TIME = Duration.ofSeconds(3);

    private static final long NEVER = Long.MIN_VALUE;

    private final TimeSource time;
    private long ownRevision;
    private boolean responding;
    private long peerRevision;
    private boolean collectorResponding;
    private long collectorDigestAt;
    private long recoveredAt = NEVER;

    SharedStoreState(TimeSource time) {
        this.time = time;
        this.collectorDigestAt = time.nanoTime();
    }

    /**
     * Notes an answer of the store to this instance.
     *
     * @param matters whether it held a change that other instances must read soon
     */
    public void onRead(long revision, boolean relevant) {
        responding = true;
        if (relevant) {
            ownRevision = Math.max(ownRevision, revision);
        }
    }

    /** Notes that the store does not answer this instance. */
    public void onReadFailed() {
        responding = false;
    }

    /** Notes that the store answers this instance again after an outage. */
    void onRecovered() {
        recoveredAt = time.nanoTime();
    }

    /** Returns how long ago the store came back, in ms; 0 if that was not recently. */
    int millisSinceRecovery() {
        long age = time.nanoTime() - recoveredAt;
        return recoveredAt == NEVER || age > RECOVERY_REPORT_TIME.toNanos()
                ? 0
                : (int) Math.max(1, age / 1_000_000);
    }

    /** Returns the newest revision with a change that matters of which others have told. */
    public long newestPeerRevision() {
        return peerRevision;
    }

    /** Returns whether a collector watches the store for this instance, and gets answers. */
    public boolean isWatchedByCollector() {
        return collectorResponding
                && time.nanoTime() - collectorDigestAt <= DIGEST_LIFETIME.toNanos();
    }

    /** Returns the newest revision with a change that matters. */
    long newestRevision() {
        return Math.max(ownRevision, peerRevision);
    }

    boolean isResponding() {
        return responding;
    }

    /**
     * Takes over that the store has come back for the collector to which this instance reports.
     *
     * @return whether that is new
     */
    boolean onRecoveryReported(int millisAgo) {
        boolean isNew = millisAgo > 0 && millisSinceRecovery() == 0;
        if (isNew) {
            recoveredAt = time.nanoTime() - Duration.ofMillis(millisAgo).toNanos();
        }
        return isNew;
    }

    /**
     * Takes over what a collector tells.
     *
     * @param own whether it is the collector to which this instance reports
     */
    void onDigest(long revision, boolean storeResponding, boolean fromOwnCollector) {
        peerRevision = Math.max(peerRevision, revision);
        if (fromOwnCollector) {
            collectorResponding = storeResponding;
            collectorDigestAt = time.nanoTime();
        }
    }
}
