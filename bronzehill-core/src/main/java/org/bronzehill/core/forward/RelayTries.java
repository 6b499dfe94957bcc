package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.bronzehill.core.model.InstanceRef;

/** Instances to which one call has been relayed, one after the other. */
final class RelayTries {

    /** Largest number of instances that are tried. */
    private static final int MAX_TRIES = 6;

    /** Number of instances without a place for the call after which no further one is tried. */
    private static final int MAX_REFUSALS = 2;

    private final RelayPeers peers;
    private final Set<String> tried = new HashSet<>();
    private InstanceRef current;
    private String upstream = "";
    private boolean answering;
    private int refusals;
    private boolean full;
    private Duration untilPlace = Duration.ZERO;

    RelayTries(RelayPeers peers) {
        this.peers = peers;
    }

    /** Returns the number of instances to which the call has been relayed. */
    int count() {
        return tried.size();
    }

    /** Returns whether another instance may be tried. */
    boolean mayTryNext(long deadlineNanos) {
        return tried.size() < MAX_TRIES
                && refusals < MAX_REFUSALS
                && peers.next(tried, deadlineNanos).isDefined();
    }

    /** Returns the next instance, to which the call is relayed now; empty if there is none. */
    Option<InstanceRef> next(long deadlineNanos) {
        Option<InstanceRef> next = peers.next(tried, deadlineNanos);
        next.forEach(
                i -> {
                    current = i;
                    upstream = "";
                    answering = false;
                    tried.add(i.id());
                });
        return next;
    }

    /** Returns the instance to which the call was relayed last; empty if it was not relayed. */
    String current() {
        return current == null ? "" : current.id();
    }

    /** Returns the upstream whose answer that instance passes on; empty if it is not known. */
    String upstream() {
        return upstream;
    }

    /** Records which upstream's answer the instance passes on; empty if it does not say. */
    void onAnswering(String answeringUpstream) {
        upstream = answeringUpstream;
    }

    /** Records that the instance has passed on a part of an answer. */
    void onProgress() {
        if (!answering) {
            answering = true;
            peers.onServed(current);
        }
    }

    /** Records that the connection to the instance was lost. */
    void onLost() {
        if (answering) {
            peers.onBrokenOff(current);
        } else {
            peers.onNotServed(current);
        }
    }

    /** Records that the instance has not served the call. */
    void onNotRun(NotRunCause cause) {
        switch (cause) {
            case NO_UPSTREAM -> peers.onNotServed(current);
            case UNKNOWN_SENDER -> peers.onUnknownTo(current);
            case FULL -> {
                refusals++;
                full = true;
            }
            default -> refusals++;
        }
    }

    /** Records the delay after which a full instance may have a place for the call. */
    void onDelayStated(Duration delay) {
        if (untilPlace.isZero() || delay.compareTo(untilPlace) < 0) {
            untilPlace = delay;
        }
    }

    /** Returns whether an instance has refused the call because it was full. */
    boolean isAnyFull() {
        return full;
    }

    /** Returns the shortest delay that full instances have stated; zero if they state none. */
    Duration untilPlace() {
        return untilPlace;
    }

    /** Returns whether an instance that reaches upstreams had no place for the call. */
    boolean isAnyWithoutPlace() {
        return refusals > 0;
    }

    /** Returns whether instances without a place have ended the search. */
    boolean isRefused() {
        return refusals >= MAX_REFUSALS;
    }
}
