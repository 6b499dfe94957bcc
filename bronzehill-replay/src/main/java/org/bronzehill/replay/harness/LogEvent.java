package org.bronzehill.replay.harness;

import java.util.List;
import org.bronzehill.core.model.Provenance;
import org.bronzehill.core.result.ResultCode;

/** Something that happened during a run; {@code at} is in nanoseconds since the start. */
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

    /** The caller closed its connection. */
    record CallerDisconnected(long at, String request) implements LogEvent {}

    /**
     * A caller's request ended.
     *
     * @param whole whether the caller has received exactly the answer to its own request; true for
     *     any code that promises no answer
     */
    record RequestAnswered(
            long at,
            String request,
            String entry,
            ResultCode code,
            Provenance provenance,
            boolean whole,
            long stallNanos,
            String detail)
            implements LogEvent {}

    /** An engine accepted a request. */
    record AttemptAccepted(
            long at, String engine, String handle, String request, int attempt, String holder)
            implements LogEvent {}

    /** An engine began to run a request. */
    record RunStarted(
            long at, String engine, String handle, String request, int attempt, long handleSince)
            implements LogEvent {}

    /** A request ended at an engine: complete, cancelled, evicted, crashed or restarted. */
    record RunEnded(long at, String engine, String handle, String request, String how)
            implements LogEvent {}

    /** A holder ordered a load, evict or role change. */
    record OrderHandled(
            long at, String engine, String kind, String handle, String holder, String outcome)
            implements LogEvent {}

    /** An adapter arrived at an engine. */
    record AdapterLoaded(long at, String engine, String handle) implements LogEvent {}

    /**
     * An engine evicted an adapter.
     *
     * @param cutOff requests that ran on it and whose holder still waited for them
     */
    record AdapterEvicted(long at, String engine, String handle, String holder, List<String> cutOff)
            implements LogEvent {}

    /** An engine lost its state. */
    record EngineStopped(long at, String engine, String why) implements LogEvent {}

    /** A runner carried out a call; {@code key} is empty for a call without one. */
    record CallExecuted(
            long at, String runner, String entry, String operation, String key, String request)
            implements LogEvent {}

    /** A call, other than a lookup, arrived at a runner. */
    record CallReceived(long at, String runner, String entry, String request) implements LogEvent {}

    /** The instance list published a state of an upstream. */
    record UpstreamStatePublished(long at, String upstream, String state) implements LogEvent {}

    /** A configuration number was published. */
    record ConfigurationPublished(long at, long number) implements LogEvent {}

    /** The configuration service became up, down or stale. */
    record ConfigurationServiceMode(long at, String mode) implements LogEvent {}

    /** An instance put a number in force. */
    record ConfigurationApplied(long at, String entry, long incarnation, long number)
            implements LogEvent {}

    /** An instance started, ended, paused, resumed, was asked to drain, or had drained. */
    record InstanceStateChanged(long at, String entry, long incarnation, String what)
            implements LogEvent {}

    /** A partition began, or ended if {@code sides} is empty. */
    record PartitionChanged(long at, List<List<String>> sides) implements LogEvent {}

    /**
     * Precedes the event of work that a slow link delivered to an upstream long after it was sent.
     */
    record DelayedDelivery(long at, String upstream, long sentAt) implements LogEvent {}

    /** Links became slow; no message is late any more after {@code until}. */
    record SlowLinksStarted(long at, long until) implements LogEvent {}

    /** A message left for a peer; only logged on request. */
    record MessageSent(long at, String from, String to, String text) implements LogEvent {}

    /**
     * A draining instance reported the end of its shutdown, or was still draining when the run
     * ended.
     *
     * @param drainingSince time at which the shutdown was asked for
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
