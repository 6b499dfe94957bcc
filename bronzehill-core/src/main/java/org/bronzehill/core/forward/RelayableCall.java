package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.result.ResultCode;

/** Call that is relayed to other instances while this one is isolated from the upstreams. */
abstract class RelayableCall extends CallLifecycle {

    RelayableCall(
            ForwardRequest request, CallTransport transport, Forwarder forwarder, long number) {
        super(request, transport, forwarder, number);
    }

    /** Sends the call to an upstream, relays it, queues it or refuses it. */
    abstract void dispatch();

    /** Returns whether the call may be relayed and there is an instance that may serve it. */
    boolean canRelay() {
        return transport.mayRelay()
                && (!attempts.anyMayHaveRun() || mayRunAgain())
                && !crashesUpstreams()
                && !mayNotBegin()
                && request.deadlineNanos() - forwarder.now() > 0
                && relayTries.mayTryNext(request.deadlineNanos());
    }

    /** Relays the call to another instance, because this one is isolated from the upstreams. */
    void relay() {
        forwarder.queues().remove(self());
        InstanceRef instance = relayTries.next(request.deadlineNanos()).get();
        state = CallState.RELAYED;
        attempts.onSent();
        log("relay", "instance-" + instance.id());
        transport.relay(instance, Duration.ofNanos(request.deadlineNanos() - forwarder.now()));
    }

    /** Relays the call if it waits here although this instance is isolated from the upstreams. */
    void relayIfWaiting() {
        if (state.isWaiting() && canRelay()) {
            if (state == CallState.AWAITING_ADAPTER) {
                forwarder.onAdapterWaitAbandoned(self());
            }
            release();
            relay();
        }
    }

    /**
     * Handles the refusal of an instance that has no place for the call.
     *
     * @param delay time after which it may have one; empty if it does not say
     */
    public void onRelayFull(String reason, Option<Duration> delay) {
        if (state == CallState.RELAYED) {
            delay.forEach(relayTries::onDelayStated);
            onRelayNotRun(reason, NotRunCause.FULL);
        }
    }

    /**
     * Handles a relayed call that the other instance has not run, and relays it to the next one.
     */
    void onRelayNotRun(String reason, NotRunCause cause) {
        attempts.onNotRun();
        log("relay-not-run", reason);
        state = CallState.DISPATCHING;
        relayTries.onNotRun(cause);
        if (relayTries.isRefused() && forwarder.reachability().isIsolated()) {
            refuseWithoutPlace();
        } else {
            dispatch();
        }
    }

    /** Relays a call whose upstream is silent because this instance is isolated. */
    boolean relayIfStalled() {
        boolean stalled =
                forwarder.reachability().isIsolated()
                        && state == CallState.SENT
                        && upstream() != null
                        && stallTimer.isOverdue()
                        && mayRunAgain()
                        && canRelay();
        if (!stalled) {
            return false;
        }
        log("stalled");
        transport.cancelAttempt();
        forwarder.onOutcome(self(), false);
        release();
        relay();
        return true;
    }

    /** Records that the other instance has passed on a part of the answer. */
    void onRelayedProgress() {
        if (!answer.hasBegun()) {
            answer.onBegun(forwarder.now());
        }
        relayTries.onProgress();
    }

    /**
     * Handles the loss of the connection to another instance. The request is relayed to the next
     * one if it may run again. How often the lost one has sent it is not known; once is assumed. A
     * stream that may not be sent to further upstreams can go back to the one that has run it.
     */
    void onRelayLost(String reason) {
        log("connection-lost", reason);
        relayTries.onLost();
        Option.of(forwarder.upstreams().get(relayTries.upstream())).forEach(stream::onRan);
        boolean again = mayRunAgain();
        boolean returns = !again && mayReturn() && stream.hasRunAtKnownUpstream();
        if (!(again || returns) || crashesUpstreams() || !forwarder.tryTakeRetry(request)) {
            fail(ResultCode.UPSTREAM_FAILED);
            return;
        }
        if (returns) {
            returnToEarlierUpstreams();
        }
        if (answer.hasBegun() && request.resumed().isEmpty() && !stream.isBound()) {
            request = request.resumingItself();
        }
        state = CallState.DISPATCHING;
        dispatch();
    }

    /**
     * Handles an answer of the instance to which the call was relayed that reports a failure.
     *
     * @param status HTTP status of the answer; the deadline may pass there a little earlier
     */
    public void onRelayFailed(int status) {
        if (state == CallState.RELAYED) {
            log("relay-failed", "status-" + status);
            boolean late = status == ResultCode.DEADLINE_PASSED.httpStatus();
            fail(late ? ResultCode.DEADLINE_PASSED : ResultCode.UPSTREAM_FAILED);
        }
    }
}
