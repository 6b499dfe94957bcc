package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import org.bronzehill.core.result.ResultCode;

/**
 * One request of a caller, from its arrival until it is answered or refused.
 *
 * <p>The transport reports the events of the running attempt. Each report ends the attempt, except
 * {@link #onProgress}, and {@link #onFailureAnswer} if it returns true: a later report ends it.
 */
public final class ForwardCall extends RelayableCall {

    ForwardCall(ForwardRequest request, CallTransport transport, Forwarder forwarder, long number) {
        super(request, transport, forwarder, number);
    }

    @Override
    ForwardCall self() {
        return this;
    }

    void start() {
        deadlineTimer.start(request.deadlineNanos());
        trial = forwarder.crashDetector().tryTakeTrial(request);
        if (isRelayedHere() && !forwarder.mayServeRelayed()) {
            refuse(ResultCode.QUEUE_FULL, forwarder.placement().retryAfter(this));
        } else {
            dispatch();
        }
    }

    private void findOrigin() {
        state = CallState.AWAITING_ORIGIN;
        stream.resume(request, this::onOrigin);
    }

    /**
     * Sends a request that resumes a stream to the service that began it, or refuses the request.
     */
    private void onOrigin(Option<String> service) {
        if (state == CallState.AWAITING_ORIGIN && service.isDefined()) {
            request = request.withService(service.get());
            dispatch();
        } else if (state == CallState.AWAITING_ORIGIN) {
            refuse(ResultCode.STREAM_NOT_RESUMABLE, Option.none());
        }
    }

    @Override
    void dispatch() {
        boolean originUnknown = request.resumed().isDefined() && !stream.isBound();
        if ((forwarder.reachability().isIsolated() || isOutdated())
                && dispatchElsewhere(originUnknown)) {
            return;
        }
        if (originUnknown) {
            findOrigin();
        } else {
            dispatch(forwarder.placement().choose(this));
        }
    }

    /**
     * Returns whether another instance should serve the call, because callers have been served by a
     * newer configuration than that in force. Only one is tried: it is better to serve by the older
     * configuration here than to refuse the call.
     */
    private boolean isOutdated() {
        return isConfigurationBehind() && relayTries.count() == 0;
    }

    private boolean isConfigurationBehind() {
        return forwarder.relays().newestConfiguration() > forwarder.configuration().version();
    }

    /**
     * Sends the call over a connection that still works, relays it, or refuses it, because this
     * instance is isolated from the upstreams, or was until shortly before and has not read the
     * configuration by which its callers were served; returns false if no other instance is known.
     *
     * @param originUnknown whether the call resumes a stream and it is not known here where that
     *     began; an instance to which it is relayed finds out
     */
    private boolean dispatchElsewhere(boolean originUnknown) {
        boolean behind = isConfigurationBehind();
        if (!behind && dispatchConnected(originUnknown)) {
            return true;
        }
        if (canRelay()) {
            relay();
            return true;
        }
        if (!forwarder.reachability().isIsolated()) {
            return false;
        }
        if (behind && dispatchConnected(originUnknown)) {
            return true;
        }
        if (!isRelayedHere() && !forwarder.relays().peers().exist()) {
            return false;
        }
        forwarder.queues().remove(this);
        state = CallState.DISPATCHING;
        refuseIsolated();
        return true;
    }

    /** Sends the call over a connection that still works, if there is one. */
    private boolean dispatchConnected(boolean originUnknown) {
        Option<UpstreamChooser.Choice> connected =
                originUnknown
                        ? Option.none()
                        : forwarder.placement().chooseConnected(this, transport);
        if (connected.isDefined()) {
            dispatch(connected);
        }
        return connected.isDefined();
    }

    /** Assigns the call to the chosen upstream, or queues or refuses it if that is not possible. */
    void dispatch(Option<UpstreamChooser.Choice> choice) {
        forwarder.queues().remove(this);
        state = CallState.DISPATCHING;
        if (crashesUpstreams()) {
            refuse(ResultCode.CRASHES_UPSTREAMS, Option.none());
        } else if (mayNotBegin()) {
            refuse(ResultCode.DRAINING, forwarder.placement().retryAfter(this));
        } else if (choice.isEmpty()) {
            enqueueOrRefuse();
        } else if (choice.get().adapterReady()) {
            place.reserve(choice.get().upstream(), request);
            send();
        } else if (!answer.hasBegun()
                && !choice.get().isReadyBy(sendDeadlineNanos(), forwarder.now())) {
            refuse(ResultCode.LOAD_FAILED, forwarder.placement().retryAfterMissedLoad(this));
        } else {
            place.reserve(choice.get().upstream(), request);
            state = CallState.AWAITING_ADAPTER;
            place.beginAdapterWait(request);
            log("wait-adapter", "expected-ms-" + choice.get().adapterWait().toMillis());
            forwarder.awaitAdapter(this);
        }
    }

    private void enqueueOrRefuse() {
        Option<ResultCode> refusal = forwarder.placement().refusalFor(this);
        if (refusal.isDefined()) {
            refuse(refusal.get(), forwarder.placement().retryAfter(this));
            return;
        }
        state = CallState.QUEUED;
        forwarder.enterQueue(this);
        log("queue");
    }

    /** Sends the request after its adapter has been loaded. */
    void onAdapterReady() {
        if (state == CallState.AWAITING_ADAPTER) {
            place.endAdapterWait(request);
            state = CallState.DISPATCHING;
            send();
        }
    }

    /** Dispatches the call again because its adapter was not loaded at the upstream. */
    void onAdapterFailed() {
        if (state == CallState.AWAITING_ADAPTER) {
            log("adapter-failed");
            excluded.passOver(upstream());
            release();
            dispatch();
        }
    }

    /** Refuses the call if its adapter was not loaded before the deadline for sending. */
    void refuseIfLate() {
        if (state == CallState.AWAITING_ADAPTER && forwarder.now() - sendDeadlineNanos() > 0) {
            forwarder.onAdapterWaitAbandoned(this);
            refuse(ResultCode.LOAD_FAILED, forwarder.placement().retryAfterMissedLoad(this));
        }
    }

    /** Sends the request to the upstream assigned to it. */
    private void send() {
        if (!upstream().acceptsRequests()) {
            // The upstream began to drain while the request waited for its adapter.
            log("upstream-leaving");
            release();
            dispatch();
        } else if (upstream().health().isPausedOnRequest()) {
            log("upstream-paused");
            release();
            dispatch();
        } else if (crashesUpstreams()) {
            // Instances have learned of the crashes while the request waited.
            refuse(ResultCode.CRASHES_UPSTREAMS, Option.none());
        } else if (mayNotBegin()) {
            refuse(ResultCode.DRAINING, forwarder.placement().retryAfter(this));
        } else {
            sendNow();
        }
    }

    private void sendNow() {
        long now = forwarder.now();
        long left = request.deadlineNanos() - now;
        if (left <= 0) {
            onDeadline();
            return;
        }
        state = CallState.SENT;
        place.onSent();
        Attempt attempt =
                new Attempt(
                        attempts.onSent(),
                        upstream().upstreamRecord(),
                        Duration.ofNanos(left),
                        forwarder.placement().requiredVersion(request),
                        request.route().priority());
        log("send");
        forwarder.latencies().onSent(request);
        place.prompt().begin(upstream());
        stallTimer.start();
        forwarder.reachability().onSent();
        transport.send(attempt);
    }

    /**
     * Sends the request elsewhere if its upstream has been silent for too long and another one can
     * take it now; returns whether it was sent.
     */
    boolean moveIfStalled() {
        if (relayIfStalled()) {
            return true;
        }
        boolean stalled = state == CallState.SENT && upstream() != null && stallTimer.isOverdue();
        Option<UpstreamChooser.Choice> other =
                stalled && mayRunAgain()
                        ? forwarder.placement().chooseOther(this, transport)
                        : Option.none();
        if (other.isEmpty() || !forwarder.tryTakeRetry(request)) {
            return false;
        }
        log("stalled");
        transport.cancelAttempt();
        forwarder.onOutcome(this, false);
        leaveUpstream();
        dispatch(other);
        return true;
    }

    /** Records how many requests the connection of the running attempt has carried before. */
    public void onConnected(int earlierRequests) {
        if (state == CallState.SENT && earlierRequests == 0) {
            forwarder.reachability().onOpened();
        }
        answer.onConnected(earlierRequests);
    }

    /** Records what the upstream of the running attempt states about itself. */
    public void onNotice(UpstreamNotice notice) {
        if (state == CallState.SENT) {
            onUpstreamReached();
            forwarder.onNotice(upstream(), notice);
        }
    }

    private void onUpstreamReached() {
        forwarder.reachability().onAnswer(answer.isOnNewConnection(), place.sentAt());
    }

    /**
     * Records by which version of the configuration another instance has served a relayed request;
     * 0 if it does not state one.
     */
    public void onRelayedConfiguration(long version) {
        forwarder.relays().onConfigurationUsed(version);
    }

    /** Records what the upstream of another instance states about itself in a relayed answer. */
    public void onRelayedNotice(String upstreamId, UpstreamNotice notice) {
        relayTries.onAnswering(upstreamId);
        UpstreamState named = forwarder.upstreams().get(upstreamId);
        if (named != null) {
            forwarder.onNotice(named, notice);
        }
    }

    /**
     * Records that an upstream has begun a successful answer to the request. Called before the
     * first event is passed on, so that other instances know of the stream before the caller does.
     */
    public void onAnswerBegun() {
        forwarder.crashDetector().onAnswerBegun(request);
        if (state == CallState.SENT) {
            stream.onAnswerBegun(request, upstream());
        }
    }

    /** Records that the answer has begun, or that more of it was passed on to the caller. */
    public void onProgress() {
        if (state == CallState.RELAYED) {
            onRelayedProgress();
            return;
        }
        onUpstreamReached();
        place.prompt().end();
        if (answer.hasBegun()) {
            answer.onContinued(stallTimer.silentNanos());
        } else {
            answer.onBegun(forwarder.now());
            forwarder.onFirstByte(
                    this,
                    answer.firstByteAt() - place.sentAt(),
                    place.prompt().unreadTokensWhenSent());
        }
        stallTimer.onProgress();
    }

    /** Handles a request that could not be delivered because no connection was opened. */
    public void onUnreachable(String reason) {
        if (state == CallState.RELAYED) {
            onRelayNotRun(reason, NotRunCause.NO_UPSTREAM);
            return;
        }
        if (state != CallState.SENT) {
            return;
        }
        attempts.onNotRun();
        log("unreachable", reason);
        forwarder.onUnreachable(this);
        excluded.passOver(upstream());
        release();
        dispatchAgain(true);
    }

    /**
     * Handles an upstream's statement that it has not run the request.
     *
     * @param cause why the request was not run
     */
    public void onNotRun(String reason, NotRunCause cause) {
        if (state == CallState.RELAYED) {
            onRelayNotRun(reason, cause);
            return;
        }
        if (state != CallState.SENT) {
            return;
        }
        onUpstreamReached();
        forwarder.onNotRun(this, cause);
        if (!excluded.onNotRun(upstream(), cause)) {
            log("ambiguous-refusal", reason);
            fail(ResultCode.UPSTREAM_FAILED);
            return;
        }
        attempts.onNotRun();
        log("not-run", reason);
        release();
        dispatchAgain(
                forwarder.upstreams().hasUpstreamFor(this) && forwarder.tryTakeRetry(request));
    }

    private void dispatchAgain(boolean allowed) {
        if (allowed && attempts.mayDispatchAgain()) {
            dispatch();
        } else {
            refuse(ResultCode.NO_UPSTREAM, forwarder.placement().retryAfter(this));
        }
    }

    /**
     * Handles a complete answer that reports a failure, and sends the request to another upstream
     * if it may run again.
     *
     * @return whether to pass the answer on instead
     */
    public boolean onFailureAnswer(int status) {
        if (state == CallState.RELAYED) {
            return true;
        }
        if (state != CallState.SENT) {
            return false;
        }
        if (status >= 500
                && mayRunAgain()
                && forwarder.upstreams().hasAlternative(this)
                && forwarder.tryTakeRetry(request)) {
            log("upstream-failed", "status-" + status);
            forwarder.onOutcome(this, false);
            retryElsewhere();
            return false;
        }
        return true;
    }

    /** Handles the loss of the connection to the upstream; the request may have run. */
    public void onConnectionLost(String reason) {
        if (state == CallState.RELAYED) {
            onRelayLost(reason);
            return;
        }
        if (state != CallState.SENT) {
            return;
        }
        log("connection-lost", reason);
        forwarder.reachability().onLost(answer.isOnNewConnection(), place.sentAt());
        forwarder.onOutcome(this, false);
        forwarder.incarnationReports().onConnectionLost(upstream());
        forwarder
                .crashDetector()
                .onConnectionLost(upstream(), request, place.sentAt(), answer.hasBegun());
        boolean again = mayRunAgain();
        if (!(again || mayReturn())
                || forwarder.crashDetector().shouldRefuse(request)
                || !forwarder.tryTakeRetry(request)) {
            fail(ResultCode.UPSTREAM_FAILED);
            return;
        }
        if (!again) {
            returnToEarlierUpstreams();
        }
        retryElsewhere();
    }

    private void retryElsewhere() {
        leaveUpstream();
        dispatch();
    }

    /** Ends an attempt after which the request may run at another upstream. */
    private void leaveUpstream() {
        stream.onRan(upstream());
        excluded.passOver(upstream());
        release();
    }

    /** Ends the call after the complete answer was passed on. */
    public void onComplete(int status) {
        if (state == CallState.RELAYED) {
            forwarder.onRelayed(request, status);
            log("complete", "status-" + status);
            end();
            return;
        }
        if (state != CallState.SENT) {
            return;
        }
        forwarder.onOutcome(this, status < 500);
        forwarder.onCompleted(this, status);
        log("complete", "status-" + status);
        end();
    }

    /** Ends the call because the caller has closed its connection. */
    public void onCallerDisconnected() {
        if (state == CallState.ENDED) {
            return;
        }
        log("caller-disconnected");
        if (state.isAttempted()) {
            transport.cancelAttempt();
        }
        end();
    }
}
