package org.bronzehill.core.forward;

import java.time.Duration;
import org.bronzehill.core.time.TimeSource;

/**
 * What instances of a large fleet tell each other of the platform's store, so that only the
 * collectors need to watch it: up to which revision they have read changes that matter, and whether
 * the store answers them. The changes themselves are read from the store by every instance.
 */
public final class StoreNews {

    /** Time for which a digest counts: two repetitions and the time between two ticks. */
    private static final Duration FRESH = LoadDigests.REPEAT.multipliedBy(2).plusMillis(200);

    private final TimeSource time;
    private long read;
    private boolean answering;
    private long heard;
    private boolean watched;
    private long heardAt;

    StoreNews(TimeSource time) {
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
    public void onFailed() {
        answering = false;
    }

    /** Returns the newest revision with a change that matters of which others have told. */
    public long newest() {
        return heard;
    }

    /** Returns whether a collector watches the store for this instance, and gets answers. */
    public boolean isWatched() {
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
