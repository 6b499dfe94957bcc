package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.time.TimeSource;

/** Calls that wait at this instance for a place at an upstream, by service. */
final class CallQueues {

    /**
     * Number of queued calls without an upstream after which the others are not tried. Calls that
     * must begin at a software version are counted apart from those of other versions.
     */
    private static final int MAX_FAILED_CHOICES = 8;

    private final TimeSource time;
    private final Function<ForwardCall, Option<UpstreamChooser.Choice>> chooser;
    private final UpstreamTable upstreams;
    private final Map<String, CallQueue> queues = new HashMap<>();

    /** Calls whose upstreams are silent and that no other upstream could take yet. */
    private final Set<ForwardCall> stalled = new LinkedHashSet<>();

    /**
     * @param chooser chooses the upstream of a call; empty if none can take it now
     */
    CallQueues(
            TimeSource time,
            Function<ForwardCall, Option<UpstreamChooser.Choice>> chooser,
            UpstreamTable upstreams) {
        this.time = time;
        this.chooser = chooser;
        this.upstreams = upstreams;
    }

    /** Returns the queue for the service of a call. */
    CallQueue of(ForwardCall call) {
        return of(call.request().service());
    }

    private CallQueue of(String service) {
        return queues.computeIfAbsent(service, s -> new CallQueue(time));
    }

    /** Adds a call that is to be sent to another upstream as soon as one can take it. */
    void addStalled(ForwardCall call) {
        stalled.add(call);
    }

    /** Removes a call that is sent or has ended. */
    void remove(ForwardCall call) {
        of(call).remove(call);
        stalled.remove(call);
    }

    /**
     * Sends stalled and then queued calls of a service for which there is capacity now. A call
     * without an upstream does not hold up those behind it, whose adapters or prompts may fit
     * elsewhere. One that waits for an upstream that has not refused it says nothing about the
     * capacity for others.
     */
    void dispatch(String service) {
        for (ForwardCall call : List.copyOf(stalled)) {
            if (call.request().service().equals(service)) {
                call.moveIfStalled();
            }
        }
        Map<Option<String>, Integer> withoutUpstream = new HashMap<>();
        for (ForwardCall call : of(service).inDispatchOrder()) {
            if (!call.isQueued()) {
                // The dispatch of an earlier call has also sent or refused this one.
                continue;
            }
            Option<String> version = upstreams.versionFor(call);
            if (withoutUpstream.getOrDefault(version, 0) == MAX_FAILED_CHOICES) {
                continue;
            }
            Option<UpstreamChooser.Choice> choice = chooser.apply(call);
            if (choice.isDefined()) {
                call.dispatch(choice);
            } else if (!isRestricted(call)) {
                withoutUpstream.merge(version, 1, Integer::sum);
            }
        }
    }

    /** Sends the queued calls of all services for which there is capacity now. */
    void dispatchAll() {
        List.copyOf(queues.keySet()).forEach(this::dispatch);
    }

    /**
     * Refuses the calls of services without an upstream, those that all upstreams that are left
     * have refused, and those that would still wait when they may no longer do so.
     *
     * @param isServed whether a service has an upstream
     */
    void refuseHopeless(Predicate<String> isServed) {
        for (Map.Entry<String, CallQueue> e : List.copyOf(queues.entrySet())) {
            CallQueue queue = e.getValue();
            boolean served = queue.isEmpty() || isServed.test(e.getKey());
            for (ForwardCall call : queue.inDispatchOrder()) {
                if (!served || (isRestricted(call) && !upstreams.hasUpstreamFor(call))) {
                    call.refuseWaiting(ResultCode.NO_UPSTREAM);
                } else if (queue.willMissDeadline(call)) {
                    call.refuseWaiting(ResultCode.QUEUE_FULL);
                }
            }
        }
    }

    /** Returns whether only some upstreams of the service may answer a call. */
    private static boolean isRestricted(ForwardCall call) {
        return call.stream().isBound() || call.excluded().anyForGood();
    }

    boolean isEmpty() {
        return queues.values().stream().allMatch(CallQueue::isEmpty);
    }
}
