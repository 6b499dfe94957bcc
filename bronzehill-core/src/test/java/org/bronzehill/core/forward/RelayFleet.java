package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.result.RunState;

/**
 * Fleet on virtual time before some plain upstreams, whose instances relay requests to each other.
 */
final class RelayFleet {

    /** Time from the signal of a planned stop until the load balancer has noticed it. */
    static final Duration UNREADY = Duration.ofMillis(2500);

    /** Time from the signal until open requests are ended. */
    static final Duration LAST_ANSWERS = Duration.ofMillis(7100);

    private static final Duration DELAY = Duration.ofMillis(1);
    private static final Duration RUN_TIME = Duration.ofMillis(150);
    private static final int UPSTREAMS = 6;
    private static final int SLOTS = 200;

    private final FleetRig rig;

    /** Outcomes of the requests of callers, as seen by one group of them. */
    static final class Outcomes {
        int opened;
        int served;
        int refused;
        int failed;
        final Map<ResultCode, Integer> codes = new java.util.EnumMap<>(ResultCode.class);
        Option<Duration> lastRetryAfter = Option.none();

        private void add(ResultCode code, Option<Duration> retryAfter) {
            refused += code.runState() == RunState.NOT_RUN ? 1 : 0;
            failed += code.runState() == RunState.NOT_RUN ? 0 : 1;
            codes.merge(code, 1, Integer::sum);
            lastRetryAfter = retryAfter;
        }

        @Override
        public String toString() {
            return "%d of %d served, %s".formatted(served, opened, codes);
        }
    }

    /** Number of requests that instances have received from others. */
    int relayed;

    RelayFleet(int size, int dataCentres) {
        rig = new FleetRig(size, dataCentres, 0);
        for (int i = 2; i <= UPSTREAMS; i++) {
            UpstreamRecord u = ForwardRig.plain("p" + i, 100);
            rig.list(
                    new UpstreamRecord(
                            u.id(),
                            u.startedAtMs(),
                            u.service(),
                            u.host(),
                            u.port(),
                            u.dataCentre(),
                            SLOTS,
                            u.softwareVersion(),
                            false,
                            Set.of(),
                            Map.of()));
        }
        rig.run(Duration.ofSeconds(4));
    }

    FleetRig rig() {
        return rig;
    }

    /** Sends a request of a caller to an instance. */
    void request(FleetRig.Node node, RequestKind kind, Duration limit, Outcomes outcomes) {
        request(node, kind, ForwardRig.PLAIN, limit, outcomes);
    }

    /** Sends a request of a caller for a service to an instance. */
    void request(
            FleetRig.Node node,
            RequestKind kind,
            String service,
            Duration limit,
            Outcomes outcomes) {
        outcomes.opened++;
        node.open(kind, service, limit, new Link(node, Option.none(), outcomes));
    }

    /** Begins the planned stop of an instance. */
    void stop(int number) {
        rig.node(number).forwarder.drain(UNREADY, LAST_ANSWERS);
    }

    /** Transport of a call at one instance. */
    private final class Link implements CallTransport {

        private final FleetRig.Node node;
        private final Option<Link> relayedBy;
        private final Outcomes outcomes;
        private ForwardCall call;
        private int attempt;

        private Link(FleetRig.Node node, Option<Link> relayedBy, Outcomes outcomes) {
            this.node = node;
            this.relayedBy = relayedBy;
            this.outcomes = outcomes;
        }

        /** Reports an event of the running attempt after a delay, unless it has ended by then. */
        private void report(Duration delay, Runnable event) {
            rig.scheduler().after(delay, later(event));
        }

        /** Returns a task that reports an event of the running attempt if it has not ended. */
        private Runnable later(Runnable event) {
            int begun = attempt;
            return () -> {
                if (node.up && begun == attempt) {
                    event.run();
                }
            };
        }

        @Override
        public void onOpened(ForwardCall opened) {
            call = opened;
        }

        @Override
        public void send(Attempt sent) {
            attempt++;
            UpstreamPaths.Path path = node.paths.to(sent.upstream().id());
            if (path == UpstreamPaths.Path.REFUSED) {
                report(DELAY, () -> call.onUnreachable("connect-failed"));
                return;
            }
            report(DELAY, () -> call.onConnected(0));
            switch (path) {
                case OPEN -> report(RUN_TIME, this::succeed);
                case RESET -> report(DELAY, () -> call.onConnectionLost("reset"));
                case PAUSED -> node.paths.onOpen(later(this::succeed));
                default -> {
                    // The upstream never answers.
                }
            }
        }

        private void succeed() {
            call.onProgress();
            call.onComplete(200);
            outcomes.served += relayedBy.isEmpty() ? 1 : 0;
            relayedBy.forEach(l -> l.report(DELAY, l::succeed));
        }

        @Override
        public void relay(InstanceRef instance, Duration timeLimit) {
            attempt++;
            FleetRig.Node other = rig.node(Integer.parseInt(instance.id().substring(1)));
            boolean listens = other.up && other.ref.equals(instance);
            if (!listens) {
                report(DELAY, () -> call.onUnreachable("connect-failed"));
                return;
            }
            report(
                    DELAY,
                    () -> {
                        relayed++;
                        ForwardRequest r = call.request();
                        Link link = new Link(other, Option.of(this), outcomes);
                        other.open(r.route().kind(), r.service(), timeLimit, link);
                    });
        }

        @Override
        public boolean mayRelay() {
            return relayedBy.isEmpty();
        }

        @Override
        public Option<String> relayedBy() {
            return relayedBy.map(Object::toString);
        }

        @Override
        public boolean canContinue() {
            return true;
        }

        @Override
        public void cancelAttempt() {
            attempt++;
        }

        @Override
        public void answerError(ResultCode code, Option<Duration> retryAfter) {
            if (relayedBy.isEmpty()) {
                outcomes.add(code, retryAfter);
                return;
            }
            Link origin = relayedBy.get();
            if (code.runState() == RunState.NOT_RUN) {
                origin.report(
                        DELAY, () -> origin.call.onNotRun("refused", NotRunCause.ofRelayed(code)));
            } else {
                origin.report(DELAY, () -> origin.call.onConnectionLost("failed"));
            }
        }

        @Override
        public void abortAnswer(ResultCode code) {
            answerError(code, Option.none());
        }
    }
}
