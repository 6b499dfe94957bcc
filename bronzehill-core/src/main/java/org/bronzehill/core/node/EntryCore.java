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
 * The decision core of one entry instance. It passes every input to the components that handle it.
 * All calls come from one thread.
 */
public final class EntryCore {

    private final CoreComponents components;
    private final Refusals refusals;
    private final PeerMessageDispatcher peerMessages;

    private EntryCore(CoreComponents components) {
        this.components = components;
        this.refusals = new Refusals(components.context());
        this.peerMessages = new PeerMessageDispatcher(components);
    }

    /** Creates the core of one incarnation of an entry instance. */
    public static EntryCore create(
            EntrySettings settings, TimeSource time, RandomGenerator random) {
        return new EntryCore(CoreComponents.create(settings, time, random));
    }

    /** Handles one input and appends the effects that the program must carry out, in order. */
    public void handle(Input input, Effects out) {
        Effects effects = components.effectEnricher().withTarget(out);
        if (components.pauseDetector().pausedSinceLastCall()) {
            onPause(effects);
        }
        if (input instanceof Input.Tick) {
            components.onTick(effects);
        } else if (input instanceof Input.ModelRequested i) {
            onModelRequest(i.request(), effects);
        } else if (input instanceof Input.ServiceRequested i) {
            onServiceRequest(i.request(), effects);
        } else if (input instanceof Input.CallerDisconnected i) {
            components.modelRequests().onCallerDisconnected(i.requestId(), effects);
            components.serviceRequests().onCallerDisconnected(i.requestId(), effects);
        } else if (input instanceof Input.AnswerProgress i) {
            components.modelRequests().onProgress(i.requestId(), i.attempt(), effects);
        } else if (input instanceof Input.PeerReceived i) {
            peerMessages.onEnvelope(i.envelope(), effects);
        } else if (input instanceof Input.PeerUnreachable i) {
            peerMessages.onPeerUnreachable(i.instance(), effects);
        } else if (input instanceof Input.DrainRequested) {
            components.drain().begin(effects);
        } else if (!handleListOrConfiguration(input, effects)) {
            onUpstream(input, effects);
        }
    }

    /**
     * Drops all leases and repeats the readiness checks after a process pause, during which peers
     * may have taken over every lease.
     */
    private void onPause(Effects out) {
        out.add(new Effect.RecordMetric(CoreMetric.PAUSES_DETECTED, "", 1));
        components.context().readiness().onPause();
        components.leases().dropAll(out);
        components.propagator().recheck(out);
        components.listSchedule().readAtNextTick();
        components.context().readiness().update(out);
    }

    private void onModelRequest(ModelRequest request, Effects out) {
        ResultCode refusal = components.context().readiness().refusal();
        if (refusal == null) {
            components.modelRequests().onRequest(request, out);
        } else {
            refusals.refuse(request.requestId(), request.adapter(), refusal, out);
        }
    }

    private void onServiceRequest(ServiceRequest request, Effects out) {
        ResultCode refusal = components.context().readiness().refusal();
        if (refusal == null) {
            components.serviceRequests().onRequest(request, out);
        } else {
            refusals.refuse(request.requestId(), "", refusal, out);
        }
    }

    private boolean handleListOrConfiguration(Input input, Effects out) {
        if (input instanceof Input.InstanceListRead i) {
            components.onInstanceList(i.list(), out);
        } else if (input instanceof Input.ConfigurationRead i) {
            components.propagator().onRead(i.image(), out);
        } else if (input instanceof Input.ConfigurationReadFailed i) {
            components.propagator().onReadFailed(i.reason(), out);
        } else {
            return false;
        }
        components.context().readiness().update(out);
        return true;
    }

    private void onUpstream(Input input, Effects out) {
        LeasedEngines engines = components.engines();
        if (input instanceof Input.EngineReported i) {
            components.reports().onReportEnded(i.report().engine());
            engines.onReport(i.report(), out);
        } else if (input instanceof Input.EngineReportFailed i) {
            components.reports().onReportEnded(i.engine());
            engines.onReportFailed(i.engine(), out);
        } else if (input instanceof Input.CacheEventsRead i) {
            engines.onCacheEvents(i.events());
        } else if (input instanceof Input.OrderAnswered i) {
            engines.deliver(
                    s -> s.onOrderAnswered(i.orderId(), i.outcome(), i.highestFencing(), out));
        } else if (input instanceof Input.AttemptStarted i) {
            engines.deliver(s -> s.onFirstOutput(i.attemptId(), out));
        } else if (input instanceof Input.AttemptFinished i) {
            engines.deliver(s -> s.onAttemptFinished(i.attemptId(), i.chunks(), i.tokens(), out));
        } else if (input instanceof Input.AttemptFailed i) {
            engines.deliver(
                    s -> s.onAttemptFailed(i.attemptId(), i.reason(), i.chunks(), i.detail(), out));
        } else if (input instanceof Input.ServiceAnswered i) {
            if (!components.serviceRequests().onCallAnswered(i.callId(), i.answer(), out)) {
                components.acts().onServiceAnswered(i.callId(), i.answer(), out);
            }
        } else if (input instanceof Input.ServiceFailed i) {
            if (!components.serviceRequests().onCallFailed(i.callId(), i.reason(), out)) {
                components.acts().onServiceFailed(i.callId(), i.reason(), out);
            }
        }
    }

    /** Returns the candidate engines for a request, best first. */
    public List<RouteCandidate> explain(String adapter, String kind, long prefixHash) {
        return components.router().explain(RouteQuery.of(adapter, kind, prefixHash));
    }

    /** Returns a view of the present state. */
    public CoreStatus status() {
        return components.status();
    }

    /** Returns the configuration in force. */
    public Configuration configuration() {
        return components.context().configuration();
    }
}
