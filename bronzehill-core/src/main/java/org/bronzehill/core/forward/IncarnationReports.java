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

    IncarnationReports(ForwardPorts ports, UpstreamTable upstreams) {
        this.ports = ports;
        this.upstreams = upstreams;
    }

    /** Begins to ask an upstream to which no connection could be opened. */
    void start(UpstreamState upstream) {
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
                            if (report.exists(r -> r.isSameStart(asked.startedAtMs()))) {
                                upstream.incarnation().onReport();
                            } else {
                                start(upstream);
                            }
                        });
    }
}
