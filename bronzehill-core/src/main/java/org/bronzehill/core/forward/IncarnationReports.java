package org.bronzehill.core.forward;

import java.time.Duration;

/**
 * Asks upstreams whose incarnation is in doubt for their reports, until one shows that the same
 * incarnation still runs, its next record is read, or it is no longer listed.
 */
final class IncarnationReports {

    /** Interval of the questions; an upstream that crashed is down for some seconds. */
    static final Duration INTERVAL = Duration.ofSeconds(1);

    private final ForwardPorts ports;
    private final UpstreamTable upstreams;
    private final CallQueues queues;

    /**
     * @param queues calls that may wait for an upstream whose incarnation is in doubt
     */
    IncarnationReports(ForwardPorts ports, UpstreamTable upstreams, CallQueues queues) {
        this.ports = ports;
        this.upstreams = upstreams;
        this.queues = queues;
    }

    /** Begins to ask an upstream to which no connection could be opened. */
    void onUnreachable(UpstreamState upstream) {
        if (upstream.incarnation().onUnreachable()) {
            askLater(upstream);
        }
    }

    /** Asks an upstream at once, because a connection to it was lost: it may have crashed. */
    void onConnectionLost(UpstreamState upstream) {
        if (upstream.incarnation().onConnectionLost()) {
            ask(upstream);
        }
    }

    /**
     * Returns whether a report shows that the incarnation still runs. After a lost connection, one
     * that states no start does too: most connections are lost without a crash.
     */
    private static boolean confirms(InventoryReport report, UpstreamState upstream) {
        long start = upstream.upstreamRecord().startedAtMs();
        return upstream.incarnation().isLikely()
                ? report.isOfIncarnation(start)
                : report.isSameStart(start);
    }

    private void askLater(UpstreamState upstream) {
        ports.scheduler().after(INTERVAL, () -> ask(upstream));
    }

    private void ask(UpstreamState upstream) {
        boolean listed = upstreams.get(upstream.id()) == upstream;
        if (!listed || upstream.incarnation().isCertain()) {
            return;
        }
        UpstreamRecord asked = upstream.upstreamRecord();
        ports.orders()
                .readReport(
                        asked,
                        report -> {
                            if (report.exists(r -> confirms(r, upstream))) {
                                confirm(upstream);
                            } else if (report.exists(upstream::isOfLaterStart)) {
                                upstream.onLaterStart();
                            } else if (report.isEmpty() && upstream.incarnation().isLikely()) {
                                probe(upstream);
                            } else {
                                askAgain(upstream);
                            }
                        });
    }

    /**
     * An upstream that accepts connections but serves no reports has most likely not crashed: one
     * that has needs some seconds to start again.
     */
    private void probe(UpstreamState upstream) {
        ports.orders()
                .probe(
                        upstream.upstreamRecord(),
                        IncarnationCheck.CONFIRMATION_TIME,
                        result -> {
                            if (result != ProbeResult.NOT_OPENED
                                    && upstream.incarnation().isLikely()) {
                                confirm(upstream);
                            } else {
                                askAgain(upstream);
                            }
                        });
    }

    private void confirm(UpstreamState upstream) {
        upstream.incarnation().onReport();
        queues.dispatch(upstream.upstreamRecord().service());
    }

    private void askAgain(UpstreamState upstream) {
        upstream.incarnation().onNoReport();
        askLater(upstream);
    }
}
