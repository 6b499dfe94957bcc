package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.result.RunState;
import org.jboss.logging.Logger;

/**
 * State of a call, the conditions that its decisions depend on, and the ways in which it ends
 * without an answer of an upstream.
 */
abstract class CallLifecycle {

    private static final Logger LOG = Logger.getLogger(ForwardCall.class);

    ForwardRequest request;
    final CallTransport transport;
    final Forwarder forwarder;
    CallState state = CallState.DISPATCHING;
    boolean trial;
    final AttemptCounts attempts = new AttemptCounts();
    final AnswerProgress answer = new AnswerProgress();
    final ExcludedUpstreams excluded;
    final CallStream stream;
    final CallPlace place;
    final RelayTries relayTries;
    final DeadlineTimer deadlineTimer;
    final StallTimer stallTimer;
    private final long arrivalNumber;
    private final long openedAt;

    CallLifecycle(
            ForwardRequest request, CallTransport transport, Forwarder forwarder, long number) {
        this.request = request;
        this.transport = transport;
        this.forwarder = forwarder;
        this.arrivalNumber = number;
        this.excluded = new ExcludedUpstreams(request.route().kind().isRepeatable());
        this.openedAt = forwarder.now();
        this.stream = new CallStream(forwarder.resumedStreams());
        this.place = new CallPlace(forwarder, request.promptTokens());
        this.relayTries = new RelayTries(forwarder.relays().peers());
        this.stallTimer = new StallTimer(forwarder, self());
        this.deadlineTimer = new DeadlineTimer(forwarder, this::onDeadline);
    }

    /** Returns this call. */
    abstract ForwardCall self();

    ForwardRequest request() {
        return request;
    }

    /** Returns the position of the call in order of arrival. */
    long arrivalNumber() {
        return arrivalNumber;
    }

    /** Returns the monotonic time limit for waits and retries; the request may be sent later. */
    long sendDeadlineNanos() {
        return WaitLimits.sendDeadlineNanos(request, answer.hasBegun());
    }

    /** Returns the monotonic time until which the call may wait for a place at an upstream. */
    long queueDeadlineNanos() {
        return WaitLimits.queueDeadlineNanos(request, answer.hasBegun(), attempts.anyMayHaveRun());
    }

    boolean hasAnswerBegun() {
        return answer.hasBegun();
    }

    ExcludedUpstreams excluded() {
        return excluded;
    }

    CallStream stream() {
        return stream;
    }

    UpstreamState upstream() {
        return place.upstream();
    }

    boolean hasEnded() {
        return state == CallState.ENDED;
    }

    boolean isQueued() {
        return state == CallState.QUEUED;
    }

    boolean isAwaitingAdapter() {
        return state == CallState.AWAITING_ADAPTER;
    }

    /** Returns whether the call was relayed to this instance and has not ended. */
    boolean isRelayedHere() {
        return transport.relayedBy().isDefined();
    }

    /** Returns whether the call must be refused because requests like it crash upstreams. */
    boolean crashesUpstreams() {
        return !trial && forwarder.crashDetector().shouldRefuse(request);
    }

    /** Returns whether the call must not reach its first upstream because of a planned stop. */
    boolean mayNotBegin() {
        return !answer.hasBegun()
                && !attempts.anyMayHaveRun()
                && forwarder.isExcludedByStop(request, openedAt);
    }

    /** Returns whether the request may be sent to a further upstream. */
    boolean mayRunAgain() {
        return mayBeRepeated() && attempts.mayHaveRun() < request.route().maxAttempts();
    }

    private boolean mayBeRepeated() {
        return request.route().kind().isRepeatable()
                && transport.canContinue()
                && forwarder.now() - sendDeadlineNanos() < 0;
    }

    /**
     * Returns whether a stream may go back to an upstream that has run it before. The limit of the
     * route is one of upstreams, so it allows this, and without it an answer that has begun would
     * be broken off.
     */
    boolean mayReturn() {
        return answer.hasBegun() && !stream.hasReturned() && mayBeRepeated();
    }

    /** Restricts the call to upstreams that have run the request. */
    void returnToEarlierUpstreams() {
        stream.returnToEarlier();
        excluded.readmitPassedOver();
    }

    void release() {
        answer.onDisconnected();
        place.release(request);
    }

    void onDeadline() {
        if (state == CallState.ENDED) {
            return;
        }
        if (state.isAttempted()) {
            transport.cancelAttempt();
            if (!answer.hasBegun() && state == CallState.SENT) {
                forwarder.onOutcome(self(), false);
            }
        }
        fail(attempts.anyMayHaveRun() ? ResultCode.DEADLINE_PASSED : ResultCode.DEADLINE_HOPELESS);
    }

    /** Refuses the call if it waits and may not be sent any more because of a planned stop. */
    void refuseIfExcluded() {
        if (state.isWaiting() && mayNotBegin()) {
            refuseWaiting(ResultCode.DRAINING);
        }
    }

    /** Answers the call because the process ends; a request that was sent may have run. */
    void endAtStop() {
        if (state.isAttempted()) {
            log("end-of-stop");
            transport.cancelAttempt();
            if (isRelayedHere()) {
                // A failure would end the request, which the other instance may relay again.
                abort(ResultCode.UPSTREAM_FAILED);
            } else {
                fail(ResultCode.UPSTREAM_FAILED);
            }
        } else if (state.isWaiting()) {
            refuseWaiting(ResultCode.DRAINING);
        }
    }

    /** Refuses a queued call that can no longer be served. */
    void refuseWaiting(ResultCode code) {
        refuse(code, forwarder.placement().retryAfter(self()));
    }

    /** Refuses the call because this instance is isolated and no other one can take the call. */
    void refuseIsolated() {
        if (crashesUpstreams()) {
            refuse(ResultCode.CRASHES_UPSTREAMS, Option.none());
        } else if (mayNotBegin()) {
            refuseWaiting(ResultCode.DRAINING);
        } else if (relayTries.isAnyWithoutPlace()) {
            refuseWithoutPlace();
        } else {
            refuse(ResultCode.ISOLATED, forwarder.relays().retryAfter(request));
        }
    }

    /** Refuses the call because other instances that reach upstreams do not take it. */
    void refuseWithoutPlace() {
        if (relayTries.isAnyFull()) {
            refuse(
                    ResultCode.QUEUE_FULL,
                    forwarder.relays().retryAfter(request, relayTries.untilPlace()));
        } else {
            refuseWaiting(ResultCode.NO_UPSTREAM);
        }
    }

    void refuse(ResultCode code, Option<Duration> retryAfter) {
        if (answer.hasBegun()
                || (attempts.anyMayHaveRun() && code.runState() == RunState.NOT_RUN)) {
            log("cannot-refuse", "code-" + code.number());
            fail(ResultCode.UPSTREAM_FAILED);
            return;
        }
        log("refuse", "code-" + code.number());
        forwarder.onNotCompleted(request, code);
        stream.onNotContinued(request, ResumeOutcome.REFUSED);
        end();
        transport.answerError(code, retryAfter);
    }

    void fail(ResultCode code) {
        if (answer.hasBegun()) {
            abort(code);
            return;
        }
        log("fail", "code-" + code.number());
        forwarder.onNotCompleted(request, code);
        end();
        stream.onNotContinued(request, ResumeOutcome.FAILED);
        transport.answerError(code, Option.none());
    }

    /** Ends the call by closing the connection of its caller. */
    private void abort(ResultCode code) {
        log("abort-answer", "code-" + code.number());
        forwarder.onNotCompleted(request, code);
        end();
        transport.abortAnswer(code);
    }

    void end() {
        deadlineTimer.cancel();
        stallTimer.cancel();
        forwarder.queues().remove(self());
        release();
        state = CallState.ENDED;
        forwarder.onEnded(self());
    }

    void log(String decision) {
        log(decision, "");
    }

    void log(String decision, String reason) {
        if (LOG.isInfoEnabled()) {
            LOG.info(
                    CallLogLine.of(request, decision, reason)
                            .withAge(forwarder.now())
                            .withAttempts(attempts)
                            .withRelayedBy(transport.relayedBy())
                            .withRelayedTo(relayTries, state == CallState.RELAYED)
                            .withUpstream(upstream())
                            .withStream(stream.found())
                            .withOtherInstances(
                                    Option.when(
                                            forwarder.relays().isIsolated(),
                                            () -> forwarder.relays().peers().counts()),
                                    relayTries.count())
                            .withAnswer(answer)
                            .withConfiguration(forwarder.configuration().version())
                            .withStoreAge(forwarder.sharedStoreState().millisSinceCurrent()));
        }
    }
}
