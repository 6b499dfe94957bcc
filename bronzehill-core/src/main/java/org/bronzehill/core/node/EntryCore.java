package org.bronzehill.core.node;

import java.util.List;
import java.util.random.RandomGenerator;
import org.bronzehill.config.Configuration;
import org.bronzehill.core.model.ModelRequest;
import org.bronzehill.core.model.ServiceRequest;
import org.bronzehill.core.placement.RouteCandidate;
import org.bronzehill.core.placement.RouteQuery;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.time.TimeSource;

/**
 * The decision core of one entry instance: composes the decision components and delivers every
 * input to those concerned. All calls come from one thread.
 */
public final class EntryCore {

    private final CoreParts parts;
    private final Refusals refusals;
    private final PeerInputs peerInputs;

    private EntryCore(CoreParts parts) {
        this.parts = parts;
        this.refusals = new Refusals(parts.context());
        this.peerInputs = new PeerInputs(parts);
    }

    /** Creates the core of one incarnation of an entry instance. */
    public static EntryCore create(
            EntrySettings settings, TimeSource time, RandomGenerator random) {
        return new EntryCore(CoreParts.create(settings, time, random));
    }

    /** Handles one input and appends the effects that the program must carry out, in order. */
    public void handle(Input input, Effects out) {
        Effects outbox = parts.outbox().into(out);
        if (parts.pauses().pausedSinceLastTick()) {
            onPause(outbox);
        }
        if (input instanceof Input.Tick) {
            parts.onTick(outbox);
        } else if (input instanceof Input.ModelRequested i) {
            onModelRequest(i.request(), outbox);
        } else if (input instanceof Input.ServiceRequested i) {
            onServiceRequest(i.request(), outbox);
        } else if (input instanceof Input.CallerDisconnected i) {
            parts.models().onCallerGone(i.requestId(), outbox);
            parts.services().onCallerGone(i.requestId(), outbox);
        } else if (input instanceof Input.AnswerProgress i) {
            parts.models().onProgress(i.requestId(), i.attempt(), outbox);
        } else if (input instanceof Input.PeerReceived i) {
            peerInputs.onEnvelope(i.envelope(), outbox);
        } else if (input instanceof Input.PeerUnreachable i) {
            peerInputs.onUnreachable(i.instance(), outbox);
        } else if (input instanceof Input.DrainRequested) {
            parts.drain().begin(outbox);
        } else if (!onPlatform(input, outbox)) {
            onUpstream(input, outbox);
        }
    }

    /** After a pause nothing known is trusted: peers may have taken over every lease. */
    private void onPause(Effects out) {
        out.add(new Effect.RecordMetric(CoreMetric.PAUSES_DETECTED, "", 1));
        parts.context().readiness().onPause();
        parts.leases().dropAll(out);
        parts.spread().recheck(out);
        parts.platform().recheck();
        parts.context().readiness().update(out);
    }

    private void onModelRequest(ModelRequest request, Effects out) {
        ResultCode refusal = parts.context().readiness().refusal();
        if (refusal == null) {
            parts.models().onRequest(request, out);
        } else {
            refusals.refuse(request.requestId(), request.adapter(), refusal, out);
        }
    }

    private void onServiceRequest(ServiceRequest request, Effects out) {
        ResultCode refusal = parts.context().readiness().refusal();
        if (refusal == null) {
            parts.services().onRequest(request, out);
        } else {
            refusals.refuse(request.requestId(), "", refusal, out);
        }
    }

    private boolean onPlatform(Input input, Effects out) {
        if (input instanceof Input.InstanceListRead i) {
            parts.onInstanceList(i.list(), out);
        } else if (input instanceof Input.ConfigurationRead i) {
            parts.spread().onRead(i.image(), out);
        } else if (input instanceof Input.ConfigurationReadFailed i) {
            parts.spread().onReadFailed(i.reason(), out);
        } else {
            return false;
        }
        parts.context().readiness().update(out);
        return true;
    }

    private void onUpstream(Input input, Effects out) {
        HeldEngines engines = parts.engines();
        if (input instanceof Input.EngineReported i) {
            parts.reports().onReportEnded(i.report().engine());
            engines.onReport(i.report(), out);
        } else if (input instanceof Input.EngineReportFailed i) {
            parts.reports().onReportEnded(i.engine());
            engines.onReportFailed(i.engine(), out);
        } else if (input instanceof Input.CacheEventsRead i) {
            engines.onCacheEvents(i.events());
        } else if (input instanceof Input.OrderAnswered i) {
            engines.offer(
                    s -> s.onOrderAnswered(i.orderId(), i.outcome(), i.highestFencing(), out));
        } else if (input instanceof Input.AttemptStarted i) {
            engines.offer(s -> s.onAttemptStarted(i.attemptId(), out));
        } else if (input instanceof Input.AttemptFinished i) {
            engines.offer(s -> s.onAttemptFinished(i.attemptId(), i.chunks(), i.tokens(), out));
        } else if (input instanceof Input.AttemptFailed i) {
            engines.offer(
                    s -> s.onAttemptFailed(i.attemptId(), i.reason(), i.chunks(), i.detail(), out));
        } else if (input instanceof Input.ServiceAnswered i) {
            if (!parts.services().onAnswered(i.callId(), i.answer(), out)) {
                parts.acts().onServiceAnswered(i.callId(), i.answer(), out);
            }
        } else if (input instanceof Input.ServiceFailed i) {
            if (!parts.services().onFailed(i.callId(), i.reason(), out)) {
                parts.acts().onServiceFailed(i.callId(), i.reason(), out);
            }
        }
    }

    /** Returns the engines that would be considered for a request, the best one first. */
    public List<RouteCandidate> explain(String adapter, String kind, long prefixHash) {
        return parts.router().explain(RouteQuery.of(adapter, kind, prefixHash));
    }

    /** Returns a view of the present state. */
    public CoreStatus status() {
        return parts.status();
    }

    /** Returns the configuration in force, for checkers and for the status page. */
    public Configuration configuration() {
        return parts.context().configuration();
    }
}
