package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.time.TimeSource;

/** Chooses upstreams for calls, and decides when a call is refused and may come back. */
final class CallPlacement {

    private final TimeSource time;
    private final UpstreamTable upstreams;
    private final UpstreamChooser chooser;
    private final LatencyModels latencies;
    private final CallQueues queues;
    private final AdapterVersions adapterVersions;
    private final Reachability reachability;
    private final RetryDelay retryDelay;
    private final Supplier<RoutingConfiguration> configuration;

    /**
     * @param configuration returns the configuration in force
     */
    CallPlacement(
            TimeSource time,
            RandomGenerator random,
            UpstreamTable upstreams,
            UpstreamChooser chooser,
            LatencyModels latencies,
            CallQueues queues,
            AdapterVersions adapterVersions,
            Reachability reachability,
            Supplier<RoutingConfiguration> configuration) {
        this.time = time;
        this.upstreams = upstreams;
        this.chooser = chooser;
        this.latencies = latencies;
        this.queues = queues;
        this.adapterVersions = adapterVersions;
        this.reachability = reachability;
        this.retryDelay = new RetryDelay(time, random);
        this.configuration = configuration;
    }

    Option<UpstreamChooser.Choice> choose(ForwardCall call) {
        Option<UpstreamChooser.Choice> choice = choose(call, call.excluded());
        if (choice.isEmpty()) {
            call.excluded().readmitPassedOver();
        }
        return choice;
    }

    /**
     * Returns an upstream that can serve a call over a connection that has been used since the
     * instance was isolated.
     */
    Option<UpstreamChooser.Choice> chooseConnected(ForwardCall call, CallTransport transport) {
        return choose(call, call.excluded(), connectedTo(call, transport))
                .filter(UpstreamChooser.Choice::adapterReady);
    }

    /** Returns the upstreams to which a connection is idle that has worked during the isolation. */
    private List<UpstreamState> connectedTo(ForwardCall call, CallTransport transport) {
        long since = reachability.isolatedSinceNanos();
        return upstreams.availableTo(call).stream()
                .filter(u -> transport.hasConnection(u.upstreamRecord(), since))
                .toList();
    }

    /**
     * Returns another upstream than that of a call that can serve the call now. While this instance
     * is isolated, only one with a connection that works can.
     */
    Option<UpstreamChooser.Choice> chooseOther(ForwardCall call, CallTransport transport) {
        List<UpstreamState> serving =
                reachability.isIsolated()
                        ? connectedTo(call, transport)
                        : upstreams.availableTo(call);
        return choose(call, call.excluded().and(call.upstream()), serving)
                .filter(c -> c.isReadyBy(call.sendDeadlineNanos(), time.nanoTime()));
    }

    private Option<UpstreamChooser.Choice> choose(ForwardCall call, ExcludedUpstreams excluded) {
        return choose(call, excluded, upstreams.availableTo(call));
    }

    private Option<UpstreamChooser.Choice> choose(
            ForwardCall call, ExcludedUpstreams excluded, List<UpstreamState> serving) {
        ForwardRequest r = call.request();
        UpstreamChooser.ChoiceInputs inputs =
                new UpstreamChooser.ChoiceInputs(
                        r,
                        configuration.get().service(r.service()).flatMap(ServiceSpec::engine),
                        requiredVersion(r).getOrElse(0),
                        latencies.adapterWait(),
                        UpstreamChooser.preferredUpstream(r, serving),
                        latencies.promptReadTime(),
                        call.hasAnswerBegun(),
                        Duration.ofNanos(time.nanoTime() - r.arrivedNanos()),
                        excluded);
        return chooser.choose(inputs, serving);
    }

    /** Returns the adapter version that must answer the request; empty if any version may. */
    Option<Integer> requiredVersion(ForwardRequest request) {
        return request.adapter().flatMap(adapterVersions::newest);
    }

    /** Returns why a call without an upstream must be refused now; empty if it may wait. */
    Option<ResultCode> refusalFor(ForwardCall call) {
        if (!upstreams.hasUpstreamFor(call)) {
            return Option.of(ResultCode.NO_UPSTREAM);
        }
        return queues.of(call).willMissDeadline(call)
                ? Option.of(ResultCode.QUEUE_FULL)
                : Option.none();
    }

    /** Returns the delay after which the caller should retry; empty if no time is left for it. */
    Option<Duration> retryAfter(ForwardCall call) {
        Duration wait = queues.of(call).expectedWait(call);
        Duration pause = upstreams.shortestRequestedPause(call);
        return retryDelay.after(call.request(), wait.compareTo(pause) > 0 ? wait : pause);
    }

    /**
     * Returns the retry delay for a caller whose adapter would be loaded too late. Many other
     * adapters must be loaded first and the caller may retry only once, so the timeout as expected
     * wait makes the delay the longest allowed one before its random reduction.
     */
    Option<Duration> retryAfterMissedLoad(ForwardCall call) {
        return retryDelay.after(call.request(), call.request().route().timeout());
    }
}
