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
 * Coordinates calls that wait for adapters with the instances that load them. A call that lacks its
 * adapter requests a load from the {@link AdapterLoader} of its engine, which runs here or at the
 * instance that holds the claim on the engine, and is notified when the adapter is loaded.
 */
final class AdapterLoadCoordinator implements OrderListener {

    private final String self;
    private final UpstreamTable upstreams;
    private final AdapterWaits waits;
    private final Effects out;
    private final TimeSource time;
    private final Map<AdapterWaits.Key, Set<String>> peersToNotify = new HashMap<>();
    private EngineController controller;
    private MisaddressedListener misaddressedListener = u -> {};

    /** Receives upstreams whose address now belongs to another upstream. */
    interface MisaddressedListener {
        void onMisaddressed(UpstreamState upstream);
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

    /** Connects the controller, whose adapter loaders report to this object. */
    void connect(EngineController engineController, MisaddressedListener listener) {
        controller = engineController;
        misaddressedListener = listener;
    }

    /** Makes a call wait until its adapter is loaded at the upstream chosen for it. */
    void awaitAdapter(ForwardCall call, int version) {
        AdapterRef adapter = call.request().adapter().get();
        waits.add(call, adapter, version)
                .forEach(first -> requestLoad(call.upstream().id(), adapter, first));
    }

    private void requestLoad(String upstream, AdapterRef adapter, AdapterWaits.Wait wait) {
        AdapterLoadQueue.LoadDemand demand = waits.demand(wait, self);
        Option<AdapterLoader> loader = controller.loader(upstream);
        if (loader.isDefined()) {
            waits.onAcknowledged(upstream, adapter);
            loader.get().requestLoad(adapter, wait.version(), demand);
            return;
        }
        Option<String> holder = controller.claims().holder(upstream);
        if (holder.isEmpty() || holder.contains(self)) {
            return;
        }
        Duration slack = Duration.ofNanos(demand.latestTargetNanos() - time.nanoTime());
        AdapterWanted wanted =
                AdapterWanted.newBuilder()
                        .setUpstream(upstream)
                        .setAdapter(adapter.key())
                        .setVersion(wait.version())
                        .setCalls(demand.calls())
                        .setSlackMs((int) slack.toMillis())
                        .build();
        send(holder.get(), Envelope.newBuilder().setAdapterWanted(wanted));
    }

    /** Repeats load requests that are due, and ends waits that can no longer succeed. */
    void onTick() {
        waits.removeUnanswered().forEach(ForwardCall::onAdapterFailed);
        waits.calls().forEach(ForwardCall::refuseIfLate);
        waits.dueForRepeat().forEach((k, w) -> requestLoad(k.upstream(), k.adapter(), w));
    }

    /** Returns whether calls wait for adapters. */
    boolean isWaiting() {
        return !waits.isEmpty();
    }

    /** Records that a call has stopped waiting for its adapter. */
    void onWaitAbandoned(ForwardCall call) {
        waits.onAbandoned(call.upstream().id(), call.request().adapter().get());
    }

    /** Handles a call that an upstream refused because it lacks the adapter. */
    void onAdapterMissing(ForwardCall call) {
        AdapterRef adapter = call.request().adapter().getOrElse(new AdapterRef("", ""));
        call.upstream().setAbsent(adapter);
        controller.loader(call.upstream().id()).forEach(loader -> loader.onAdapterMissing(adapter));
    }

    /** Records that the requests of an instance have begun or ceased to use an adapter. */
    void onUseChanged(String upstream, AdapterRef adapter) {
        controller.loader(upstream).forEach(loader -> loader.onUseChanged(adapter));
    }

    /** Ends the waits at an upstream that was removed, replaced or misaddressed. */
    void onUpstreamDiscarded(UpstreamState upstream) {
        waits.removeAllAt(upstream.id()).forEach(ForwardCall::onAdapterFailed);
    }

    @Override
    public void onResident(UpstreamState upstream, AdapterRef adapter, int version) {
        markResident(upstream, adapter, version);
        notifyPeers(
                new AdapterWaits.Key(upstream.id(), adapter),
                AdapterState.newBuilder().setVersion(version).setResident(true));
    }

    @Override
    public void onLoadFailed(UpstreamState upstream, AdapterRef adapter) {
        waits.removeFailed(upstream.id(), adapter).forEach(ForwardCall::onAdapterFailed);
        notifyPeers(new AdapterWaits.Key(upstream.id(), adapter), AdapterState.newBuilder());
    }

    @Override
    public void onMisaddressed(UpstreamState upstream) {
        misaddressedListener.onMisaddressed(upstream);
    }

    @Override
    public void onUnreachable(UpstreamState upstream) {
        upstream.health().onUnreachable();
        endWaits(upstream);
        for (AdapterWaits.Key key : List.copyOf(peersToNotify.keySet())) {
            if (key.upstream().equals(upstream.id())) {
                notifyPeers(key, AdapterState.newBuilder().setUnreachable(true));
            }
        }
    }

    /**
     * Moves the calls that wait at an unreachable upstream to other upstreams. For a short time, no
     * further calls wait for loads there: only the claim holder sends load orders, so other
     * instances do not know when the upstream accepts connections again.
     */
    void endWaits(UpstreamState upstream) {
        upstream.pauseAdapterWaits();
        waits.removeAllAt(upstream.id()).forEach(ForwardCall::onAdapterFailed);
    }

    @Override
    public void onFenced(UpstreamState upstream) {
        controller.claims().onFenced(upstream.id());
    }

    @Override
    public void onAccepted(UpstreamState upstream) {
        controller.claims().onAccepted(upstream.id());
    }

    @Override
    public void onForeignOrders(UpstreamState upstream) {
        controller.claims().onForeignOrders(upstream.id());
    }

    private void markResident(UpstreamState upstream, AdapterRef adapter, int version) {
        upstream.setResident(adapter, version);
        waits.removeLoaded(upstream.id(), adapter, version).forEach(ForwardCall::onAdapterReady);
    }

    private void notifyPeers(AdapterWaits.Key key, AdapterState.Builder state) {
        Set<String> peers = peersToNotify.remove(key);
        if (peers != null) {
            state.setUpstream(key.upstream()).setAdapter(key.adapter().key());
            peers.forEach(p -> send(p, Envelope.newBuilder().setAdapterState(state)));
        }
    }

    private void send(String peer, Envelope.Builder envelope) {
        out.add(new Effect.SendPeer(peer, envelope, false));
    }

    /** Handles a load request of another instance. */
    void onLoadRequest(String from, AdapterWanted wanted) {
        Option<AdapterLoader> loader = controller.loader(wanted.getUpstream());
        Option<AdapterRef> adapter = AdapterRef.parse(wanted.getAdapter());
        if (loader.isDefined() && adapter.isDefined()) {
            AdapterWaits.Key key = new AdapterWaits.Key(wanted.getUpstream(), adapter.get());
            peersToNotify.computeIfAbsent(key, k -> new HashSet<>()).add(from);
            long latestTargetNanos =
                    time.nanoTime() + Duration.ofMillis(wanted.getSlackMs()).toNanos();
            AdapterLoadQueue.LoadDemand demand =
                    new AdapterLoadQueue.LoadDemand(from, wanted.getCalls(), latestTargetNanos);
            loader.get().requestLoad(adapter.get(), wanted.getVersion(), demand);
        }
    }

    /** Handles the adapter state that the claim holder reports. */
    void onAdapterState(AdapterState state) {
        UpstreamState u = upstreams.get(state.getUpstream());
        Option<AdapterRef> adapter = AdapterRef.parse(state.getAdapter());
        if (u == null || adapter.isEmpty()) {
            return;
        }
        if (state.getResident()) {
            markResident(u, adapter.get(), state.getVersion());
        } else if (state.getUnreachable()) {
            endWaits(u);
        } else {
            waits.removeFailed(u.id(), adapter.get()).forEach(ForwardCall::onAdapterFailed);
        }
    }

    /**
     * Sends the calls whose adapter is loaded according to the latest message from other instances.
     */
    void onAdaptersUpdated() {
        for (AdapterWaits.Key key : waits.keys()) {
            UpstreamState u = upstreams.get(key.upstream());
            if (u != null) {
                if (u.isReportedLoading(key.adapter())) {
                    waits.onAcknowledged(key.upstream(), key.adapter());
                }
                u.residentVersion(key.adapter())
                        .forEach(
                                v ->
                                        waits.removeLoaded(key.upstream(), key.adapter(), v)
                                                .forEach(ForwardCall::onAdapterReady));
            }
        }
    }
}
