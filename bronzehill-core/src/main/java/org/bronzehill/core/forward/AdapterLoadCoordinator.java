package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.AdapterState;
import org.bronzehill.protocol.generated.AdapterWanted;
import org.bronzehill.protocol.generated.Envelope;

/**
 * Brings calls, desks and other instances together: a call that lacks an adapter asks the desk of
 * its engine, here or at the instance that gives the engine its orders, and is told when it has
 * arrived.
 */
final class AdapterLoadCoordinator implements AdapterLoader.Listener {

    private final String self;
    private final UpstreamTable upstreams;
    private final AdapterWaits waits;
    private final Effects out;
    private final TimeSource time;
    private final Map<AdapterWaits.Key, Set<String>> waitingPeers = new HashMap<>();
    private EngineController office;
    private MisaddressedListener misaddressed = u -> {};

    /** Receives upstreams whose address has passed to another one. */
    interface MisaddressedListener {
        void misaddressed(UpstreamState upstream);
    }

    AdapterLoadCoordinator(
            String self,
            UpstreamTable upstreams,
            AdapterWaits waits,
            Effects out,
            TimeSource time) {
        this.self = self;
        this.upstreams = upstreams;
        this.waits = waits;
        this.out = out;
        this.time = time;
    }

    /** Connects the desks, which report to this object. */
    void connect(EngineController desks, MisaddressedListener listener) {
        office = desks;
        misaddressed = listener;
    }

    /** Lets a call wait for its adapter at the upstream that was chosen for it. */
    void await(ForwardCall call, int version) {
        AdapterRef adapter = call.request().adapter().get();
        waits.add(call, adapter, version)
                .forEach(first -> ask(call.upstream().id(), adapter, first));
    }

    private void ask(String upstream, AdapterRef adapter, AdapterWaits.Wait wait) {
        AdapterLoadQueue.LoadDemand waiting = wait.waiting(self);
        Option<AdapterLoader> desk = office.desk(upstream);
        if (desk.isDefined()) {
            waits.underWay(upstream, adapter);
            desk.get().want(adapter, wait.version(), waiting);
            return;
        }
        Option<String> holder = office.claims().holder(upstream);
        if (holder.isEmpty() || holder.contains(self)) {
            return;
        }
        Duration slack = Duration.ofNanos(waiting.targetByNanos() - time.nanoTime());
        AdapterWanted wanted =
                AdapterWanted.newBuilder()
                        .setUpstream(upstream)
                        .setAdapter(adapter.key())
                        .setVersion(wait.version())
                        .setCalls(waiting.calls())
                        .setSlackMs((int) slack.toMillis())
                        .build();
        send(holder.get(), Envelope.newBuilder().setAdapterWanted(wanted));
    }

    /** Repeats wishes that are due and ends waits that have become pointless. */
    void onTick() {
        waits.overdue().forEach(ForwardCall::onAdapterFailed);
        waits.calls().forEach(ForwardCall::giveUpIfLate);
        waits.toRepeat().forEach((k, w) -> ask(k.upstream(), k.adapter(), w));
    }

    /** Returns whether calls wait for adapters. */
    boolean isWaiting() {
        return !waits.isEmpty();
    }

    /** Notes that a call gave up its wait. */
    void onLate(ForwardCall call) {
        waits.late(call.upstream().id(), call.request().adapter().get());
    }

    /** Notes that an upstream turned a call away for lack of its adapter. */
    void onMissing(ForwardCall call) {
        AdapterRef adapter = call.request().adapter().getOrElse(new AdapterRef("", ""));
        call.upstream().setAbsent(adapter);
        office.desk(call.upstream().id()).forEach(d -> d.onMissing(adapter));
    }

    /** Notes that requests of another instance use an adapter. */
    void onPeerUse(String upstream, AdapterRef adapter) {
        office.desk(upstream).forEach(d -> d.onUse(adapter));
    }

    /** Ends the waits at an upstream that is gone. */
    void onUpstreamEnded(UpstreamState upstream) {
        waits.failedAt(upstream.id()).forEach(ForwardCall::onAdapterFailed);
    }

    @Override
    public void resident(UpstreamState upstream, AdapterRef adapter, int version) {
        onResident(upstream, adapter, version);
        tellWaiting(
                new AdapterWaits.Key(upstream.id(), adapter),
                AdapterState.newBuilder().setVersion(version).setResident(true));
    }

    @Override
    public void failed(UpstreamState upstream, AdapterRef adapter) {
        waits.failed(upstream.id(), adapter).forEach(ForwardCall::onAdapterFailed);
        tellWaiting(new AdapterWaits.Key(upstream.id(), adapter), AdapterState.newBuilder());
    }

    @Override
    public void misaddressed(UpstreamState upstream) {
        misaddressed.misaddressed(upstream);
    }

    @Override
    public void unreachable(UpstreamState upstream) {
        upstream.health().onUnreachable();
        endWaits(upstream);
        for (AdapterWaits.Key key : List.copyOf(waitingPeers.keySet())) {
            if (key.upstream().equals(upstream.id())) {
                tellWaiting(key, AdapterState.newBuilder().setUnreachable(true));
            }
        }
    }

    /**
     * Sends the calls that wait at an upstream elsewhere, since no connection to it opens. No load
     * is awaited there for a while: only the instance that gives the orders sees whether it can be
     * reached for them.
     */
    void endWaits(UpstreamState upstream) {
        upstream.pauseLoads();
        waits.failedAt(upstream.id()).forEach(ForwardCall::onAdapterFailed);
    }

    @Override
    public void fenced(UpstreamState upstream) {
        office.claims().onFenced(upstream.id());
    }

    private void onResident(UpstreamState upstream, AdapterRef adapter, int version) {
        upstream.setResident(adapter, version);
        waits.arrived(upstream.id(), adapter, version).forEach(ForwardCall::onAdapterReady);
    }

    private void tellWaiting(AdapterWaits.Key key, AdapterState.Builder state) {
        Set<String> peers = waitingPeers.remove(key);
        if (peers != null) {
            state.setUpstream(key.upstream()).setAdapter(key.adapter().key());
            peers.forEach(p -> send(p, Envelope.newBuilder().setAdapterState(state)));
        }
    }

    private void send(String peer, Envelope.Builder envelope) {
        out.add(new Effect.SendPeer(peer, envelope, false));
    }

    /** Handles the wish of another instance. */
    void onWanted(String from, AdapterWanted wanted) {
        Option<AdapterLoader> desk = office.desk(wanted.getUpstream());
        Option<AdapterRef> adapter = AdapterRef.parse(wanted.getAdapter());
        if (desk.isDefined() && adapter.isDefined()) {
            AdapterWaits.Key key = new AdapterWaits.Key(wanted.getUpstream(), adapter.get());
            waitingPeers.computeIfAbsent(key, k -> new HashSet<>()).add(from);
            long targetBy = time.nanoTime() + Duration.ofMillis(wanted.getSlackMs()).toNanos();
            AdapterLoadQueue.LoadDemand waiting =
                    new AdapterLoadQueue.LoadDemand(from, wanted.getCalls(), targetBy);
            desk.get().want(adapter.get(), wanted.getVersion(), waiting);
        }
    }

    /** Handles the answer of the instance that gives the orders. */
    void onState(AdapterState state) {
        UpstreamState u = upstreams.get(state.getUpstream());
        Option<AdapterRef> adapter = AdapterRef.parse(state.getAdapter());
        if (u == null || adapter.isEmpty()) {
            return;
        }
        if (state.getResident()) {
            onResident(u, adapter.get(), state.getVersion());
        } else if (state.getUnreachable()) {
            endWaits(u);
        } else {
            waits.failed(u.id(), adapter.get()).forEach(ForwardCall::onAdapterFailed);
        }
    }

    /** Sends the calls whose adapter has arrived according to a share. */
    void onShare() {
        for (AdapterWaits.Key key : waits.keys()) {
            UpstreamState u = upstreams.get(key.upstream());
            if (u != null) {
                if (u.isFetching(key.adapter())) {
                    waits.underWay(key.upstream(), key.adapter());
                }
                u.residentVersion(key.adapter())
                        .forEach(
                                v ->
                                        waits.arrived(key.upstream(), key.adapter(), v)
                                                .forEach(ForwardCall::onAdapterReady));
            }
        }
    }
}
