package org.bronzehill.replay.harness;

import java.util.List;
import org.bronzehill.core.model.Provenance;
import org.bronzehill.core.result.ResultCode;

/**
 * Event of a replay; {@code at} is the virtual time in nanoseconds since the start. The holder in
 * an event is the entry instance that sent the order or request to the engine.
 */
public sealed interface LogEvent {

    /** Returns the time of the event. */
    long at();

    /** A caller's request arrived at an entry instance. */
    record RequestArrived(
            long at,
            String request,
            String entry,
            String caller,
            String kind,
            String adapter,
            String key,
            long budgetMs)
            implements LogEvent {}

    /** A caller closed its connection before it was answered. */
    record CallerDisconnected(long at, String request) implements LogEvent {}

    /**
     * A caller's request was answered.
     *
     * @param complete whether a successful answer contains exactly the content of the caller's own
     *     request; true for all other result codes
     */
    record RequestAnswered(
            long at,
            String request,
            String entry,
            ResultCode code,
            Provenance provenance,
            boolean complete,
            long loadStallNanos,
            String detail)
            implements LogEvent {}

    /** An engine accepted an attempt of a request into its queue. */
    record AttemptAccepted(
            long at, String engine, String handle, String request, int attempt, String holder)
            implements LogEvent {}

    /** An engine started to run a request on a loaded adapter. */
    record RunStarted(
            long at,
            String engine,
            String handle,
            String request,
            int attempt,
            long adapterLoadedAt)
            implements LogEvent {}

    /**
     * A request ended at an engine; the outcome is complete, cancelled, evicted, crash or restart.
     */
    record RunEnded(long at, String engine, String handle, String request, String outcome)
            implements LogEvent {}

    /**
     * An engine started or answered an order of a holder: to load an adapter, to evict one, or to
     * set the role of the engine.
     */
    record OrderHandled(
            long at, String engine, String kind, String handle, String holder, String outcome)
            implements LogEvent {}

    /** An engine finished loading an adapter. */
    record AdapterLoaded(long at, String engine, String handle) implements LogEvent {}

    /**
     * An engine evicted an adapter.
     *
     * @param interruptedRequests requests queued or running on the adapter that their holder still
     *     awaited
     */
    record AdapterEvicted(
            long at, String engine, String handle, String holder, List<String> interruptedRequests)
            implements LogEvent {}

    /** An engine stopped and lost its adapters and runs; the reason is crash or restart. */
    record EngineStopped(long at, String engine, String reason) implements LogEvent {}

    /** A runner executed a call; {@code key} is empty for a call without idempotency key. */
    record CallExecuted(
            long at, String runner, String entry, String operation, String key, String request)
            implements LogEvent {}

    /** A call other than a lookup arrived at a runner. */
    record CallReceived(long at, String runner, String entry, String request) implements LogEvent {}

    /** The instance list published a state of an upstream. */
    record UpstreamStatePublished(long at, String upstream, String state) implements LogEvent {}

    /** A configuration number was published. */
    record ConfigurationPublished(long at, long number) implements LogEvent {}

    /** The configuration service became up, down or stale. */
    record ConfigurationServiceMode(long at, String mode) implements LogEvent {}

    /** An instance put a configuration number in force. */
    record ConfigurationApplied(long at, String entry, long incarnation, long number)
            implements LogEvent {}

    /**
     * The state of an instance changed to started, paused, resumed, draining, drained or killed. A
     * drained instance is also logged as killed when it ends.
     */
    record InstanceStateChanged(long at, String entry, long incarnation, String state)
            implements LogEvent {}

    /** A partition began, or ended if {@code sides} is empty. */
    record PartitionChanged(long at, List<List<String>> sides) implements LogEvent {}

    /**
     * A slow link delivered a request or call late to an upstream. If the upstream accepts it, the
     * next event is its arrival.
     */
    record DelayedDelivery(long at, String upstream, long sentAt) implements LogEvent {}

    /** Links became slow; the last delayed message arrives by {@code until}. */
    record SlowLinksStarted(long at, long until) implements LogEvent {}

    /** An instance sent a message to a peer; logged only for the selected kinds. */
    record MessageSent(long at, String from, String to, String text) implements LogEvent {}

    /**
     * State of a draining instance when it finished draining, or at the end of the run if it was
     * still draining.
     *
     * @param drainingSince time at which the shutdown was requested
     * @param finished whether the instance finished draining
     */
    record DrainState(
            long at,
            String entry,
            long drainingSince,
            boolean finished,
            int openRequests,
            int attempts,
            int calls)
            implements LogEvent {}
}
