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
    private static final Duration FRESH = LoadDigests.REPEAT.multipliedBy(2).plusMillis(200);

    /** Time for which a return of the store is told: about that in which lapsed records return. */
    private static final Duration RETURN_TOLD = Duration.ofSeconds(3);

    private static final long NEVER = Long.MIN_VALUE;

    private final TimeSource time;
    private long read;
    private boolean answering;
    private long heard;
    private boolean watched;
    private long heardAt;
    private long returnedAt = NEVER;

    SharedStoreState(TimeSource time) {
        this.time = time;
        this.heardAt = time.nanoTime();
    }

    /**
     * Notes an answer of the store to this instance.
     *
     * @param matters whether it held a change that other instances must read soon
     */
    public void onRead(long revision, boolean matters) {
        answering = true;
        if (matters) {
            read = Math.max(read, revision);
        }
    }

    /** Notes that the store does not answer this instance. */
    public void onReadFailed() {
        answering = false;
    }

    /** Notes that the store answers this instance again after an outage. */
    void onRecovered() {
        returnedAt = time.nanoTime();
    }

    /** Returns how long ago the store came back, in ms; 0 if that was not recently. */
    int returnedMillis() {
        long age = time.nanoTime() - returnedAt;
        return returnedAt == NEVER || age > RETURN_TOLD.toNanos()
                ? 0
                : (int) Math.max(1, age / 1_000_000);
    }

    /** Returns the newest revision with a change that matters of which others have told. */
    public long newestPeerRevision() {
        return heard;
    }

    /** Returns whether a collector watches the store for this instance, and gets answers. */
    public boolean isWatchedByCollector() {
        return watched && time.nanoTime() - heardAt <= FRESH.toNanos();
    }

    /** Returns the newest revision with a change that matters. */
    long revision() {
        return Math.max(read, heard);
    }

    boolean isAnswering() {
        return answering;
    }

    /**
     * Takes over that the store has come back for the collector to which this instance reports.
     *
     * @return whether that is new
     */
    boolean onReturnTold(int millis) {
        boolean news = millis > 0 && returnedMillis() == 0;
        if (news) {
            returnedAt = time.nanoTime() - Duration.ofMillis(millis).toNanos();
        }
        return news;
    }

    /**
     * Takes over what a collector tells.
     *
     * @param own whether it is the collector to which this instance reports
     */
    void onDigest(long revision, boolean answers, boolean own) {
        heard = Math.max(heard, revision);
        if (own) {
            watched = answers;
            heardAt = time.nanoTime();
        }
    }
}
