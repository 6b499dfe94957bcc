package org.bronzehill.entry.runtime;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.ListedInstance;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.node.Input;
import org.bronzehill.entry.peer.PeerAddresses;
import org.bronzehill.entry.peer.PeerLinks;
import org.bronzehill.entry.relay.ProvenanceChunk;
import org.bronzehill.entry.relay.SinkTable;
import org.bronzehill.entry.telemetry.Metrics;
import org.bronzehill.entry.telemetry.Tracing;
import org.bronzehill.entry.upstream.ApplicationRunnerClient;
import org.bronzehill.entry.upstream.ChunkTarget;
import org.bronzehill.entry.upstream.EngineClient;
import org.bronzehill.entry.upstream.InputSink;
import org.bronzehill.entry.upstream.PlatformClient;
import org.bronzehill.entry.upstream.UpstreamUris;
import org.bronzehill.protocol.generated.Envelope;

/** Executes the effects of the core on the core thread, without blocking. */
public final class EffectRunner implements Effects {

    private final Transports transports;
    private final SinkTable sinks;
    private final Metrics metrics;
    private final Tracing tracing;
    private final Readiness readiness;
    private final Map<Long, byte[]> provenanceChunks = new HashMap<>();
    private InputSink inputs;

    private EffectRunner(
            Transports transports,
            SinkTable sinks,
            Metrics metrics,
            Tracing tracing,
            Readiness readiness) {
        this.transports = transports;
        this.sinks = sinks;
        this.metrics = metrics;
        this.tracing = tracing;
        this.readiness = readiness;
    }

    /**
     * Links to the peers, and clients of the engines, of the application runners, and of the
     * platform's configuration service and instance list.
     *
     * @param self id of this instance
     */
    public record Transports(
            String self,
            PeerAddresses addresses,
            PeerLinks links,
            UpstreamUris uris,
            EngineClient engines,
            ApplicationRunnerClient applicationRunners,
            PlatformClient platform) {}

    /** Creates a runner; {@link #bind} must be called before it is used. */
    public static EffectRunner create(
            Transports transports,
            SinkTable sinks,
            Metrics metrics,
            Tracing tracing,
            Readiness readiness) {
        return new EffectRunner(transports, sinks, metrics, tracing, readiness);
    }

    /** Sets the destination of the inputs that result from effects. */
    public void bind(InputSink newInputs) {
        inputs = newInputs;
    }

    @Override
    public void add(Effect effect) {
        if (effect instanceof Effect.SendPeer e) {
            send(e);
        } else if (effect instanceof Effect.Answer e) {
            sinks.answer(e);
        } else if (effect instanceof Effect.AbandonAttempt e) {
            sinks.abandon(e.requestId(), e.attempt());
        } else if (effect instanceof Effect.RecordMetric e) {
            metrics.record(e.metric(), e.label(), e.value());
        } else if (effect instanceof Effect.SetReady e) {
            readiness.set(e.ready(), e.reason());
        } else if (effect instanceof Effect.Drained) {
            readiness.markDrained();
        } else if (!runEngineEffect(effect)) {
            runServiceOrPlatformEffect(effect);
        }
    }

    private boolean runEngineEffect(Effect effect) {
        EngineClient engines = transports.engines();
        if (effect instanceof Effect.DescribeAttempt e) {
            provenanceChunks.put(e.attemptId(), ProvenanceChunk.encode(e.provenance()));
        } else if (effect instanceof Effect.StartAttempt e) {
            engines.start(
                    e,
                    provenanceChunks.remove(e.attemptId()),
                    tracing.startAttempt(e),
                    chunkTarget(e.origin(), e.requestId(), e.attempt()));
        } else if (effect instanceof Effect.CancelAttempt e) {
            engines.cancel(e.attemptId());
        } else if (effect instanceof Effect.OrderEngine e) {
            engines.sendOrder(e);
        } else if (effect instanceof Effect.ReadEngineReport e) {
            engines.readReport(e.engine());
        } else if (effect instanceof Effect.ReadCacheEvents e) {
            engines.readCacheEvents(e.engine(), e.after());
        } else {
            return false;
        }
        return true;
    }

    private void runServiceOrPlatformEffect(Effect effect) {
        if (effect instanceof Effect.CallService e) {
            transports.applicationRunners().call(e, tracing.traceparent(e.requestId()));
        } else if (effect instanceof Effect.LookupAct e) {
            transports.applicationRunners().lookUp(e);
        } else if (effect instanceof Effect.ReadConfiguration e) {
            transports.platform().readConfiguration(e.haveNumber(), e.maxWait());
        } else if (effect instanceof Effect.ReadInstanceList) {
            transports.platform().readInstanceList(this::onInstanceListRead);
        }
    }

    private ChunkTarget chunkTarget(String origin, String requestId, int attempt) {
        if (origin.equals(transports.self())) {
            return (sequence, data) -> {
                sinks.chunk(requestId, attempt, sequence, data);
                return true;
            };
        }
        return (sequence, data) ->
                transports
                        .links()
                        .send(
                                origin,
                                ChunkMessages.of(
                                        transports.self(),
                                        origin,
                                        requestId,
                                        attempt,
                                        sequence,
                                        data),
                                false);
    }

    private void send(Effect.SendPeer e) {
        Envelope envelope = e.envelope().setTraceparent(tracing.onSend(e.envelope())).build();
        if (!transports.links().send(e.instance(), envelope, e.newConnection())) {
            metrics.peerMessageRefused(e.instance());
            inputs.accept(new Input.PeerUnreachable(e.instance()));
        }
    }

    /** Updates the addresses first, because the core may send messages once it has the list. */
    private void onInstanceListRead(InstanceList list) {
        Set<String> ids =
                list.instances().stream().map(i -> i.ref().id()).collect(Collectors.toSet());
        for (ListedInstance i : list.instances()) {
            transports.addresses().put(i.ref().id(), i.ref().host(), i.ref().port());
        }
        transports.addresses().retain(ids);
        transports.links().closeUnlisted();
        transports.uris().update(list);
        inputs.accept(new Input.InstanceListRead(list));
    }
}
