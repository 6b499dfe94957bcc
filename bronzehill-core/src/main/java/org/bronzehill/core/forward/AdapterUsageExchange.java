package org.bronzehill.core.forward;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.AdapterUses;
import org.bronzehill.protocol.generated.Envelope;
import org.bronzehill.protocol.generated.UpstreamLoad;

/**
 * Reports to the claim holders of the engines which adapters the requests of this instance use, so
 * that no adapter in use is evicted, and applies the reports of other instances.
 */
final class AdapterUsageExchange {

    private static final AdapterUses NO_USES = AdapterUses.getDefaultInstance();

    private final UpstreamTable upstreams;
    private final OrderClaims claims;
    private final TimeSource time;
    private final BiConsumer<String, AdapterRef> listener;
    private final Map<String, AdapterUses> lastSent = new HashMap<>();
    private long repeatedAt;

    /**
     * @param listener receives the upstream and the adapter when requests of another instance begin
     *     or cease to use it
     */
    AdapterUsageExchange(
            UpstreamTable upstreams,
            OrderClaims claims,
            TimeSource time,
            BiConsumer<String, AdapterRef> listener) {
        this.upstreams = upstreams;
        this.claims = claims;
        this.time = time;
        this.listener = listener;
        this.repeatedAt = time.nanoTime();
    }

    /**
     * Sends the current uses to the claim holder of the upstream at once. The holder gives the
     * adapter's slot to another adapter as soon as no request uses it, and keeps one that a request
     * on its way to the engine will use.
     */
    void sendUses(UpstreamState upstream, Effects out) {
        claims.peerClaim(upstream.id())
                .map(Claim::instance)
                .forEach(
                        holder -> {
                            Map<String, AdapterUses> uses = usesByClaimHolder(holder::equals);
                            send(holder, uses.getOrDefault(holder, NO_USES), out);
                        });
    }

    private static void send(String holder, AdapterUses uses, Effects out) {
        out.add(new Effect.SendPeer(holder, Envelope.newBuilder().setAdapterUses(uses), false));
    }

    /** Sends changed uses, and repeats all of them at intervals. */
    void onTick(Effects out) {
        long now = time.nanoTime();
        boolean repeat = now - repeatedAt >= LoadExchange.REPEAT_INTERVAL.toNanos();
        repeatedAt = repeat ? now : repeatedAt;
        Map<String, AdapterUses> current = usesByClaimHolder(holder -> true);
        Set<String> receivers = new HashSet<>(current.keySet());
        receivers.addAll(lastSent.keySet());
        for (String r : receivers) {
            AdapterUses uses = current.getOrDefault(r, NO_USES);
            if (repeat || !uses.equals(lastSent.get(r))) {
                send(r, uses, out);
            }
        }
        lastSent.clear();
        lastSent.putAll(current);
    }

    /** Returns the uses at the engines of each claim holder that the filter accepts. */
    private Map<String, AdapterUses> usesByClaimHolder(Predicate<String> filter) {
        Map<String, AdapterUses.Builder> found = new HashMap<>();
        for (UpstreamState u : upstreams.all()) {
            if (u.ownAdapters().isEmpty()) {
                continue;
            }
            claims.peerClaim(u.id())
                    .map(Claim::instance)
                    .filter(filter)
                    .forEach(
                            holder ->
                                    found.computeIfAbsent(holder, i -> AdapterUses.newBuilder())
                                            .addLoads(usesAt(u)));
        }
        Map<String, AdapterUses> built = new HashMap<>();
        int validMs = (int) LoadExchange.lifetime(LoadExchange.REPEAT_INTERVAL).toMillis();
        found.forEach((i, b) -> built.put(i, b.setValidMs(validMs).build()));
        return built;
    }

    private static UpstreamLoad usesAt(UpstreamState u) {
        UpstreamLoad.Builder load = UpstreamLoad.newBuilder().setUpstreamHash(u.shortHash());
        u.ownAdapters().forEach(a -> load.addAdapters(a.key()));
        return load.build();
    }

    /**
     * Applies the uses that another instance reports in a load share or in {@link AdapterUses}. At
     * an upstream for which {@code loads} lists adapters, they replace the earlier uses of that
     * instance. At an upstream whose load lists no adapters, the earlier uses are kept, because the
     * load shares of a large fleet never list any. At all other upstreams, the earlier uses are
     * removed.
     */
    void applyPeerUses(String from, Collection<UpstreamLoad> loads, long validUntil) {
        Set<UpstreamState> named = new HashSet<>();
        for (UpstreamLoad load : loads) {
            UpstreamState u = upstreams.get(load.getUpstreamHash());
            if (u != null) {
                named.add(u);
                if (load.getAdaptersCount() > 0) {
                    applyPeerUses(from, u, load, validUntil);
                }
            }
        }
        for (UpstreamState u : upstreams.all()) {
            if (!named.contains(u)) {
                setPeerUses(from, u, Set.of(), validUntil);
            }
        }
    }

    private void applyPeerUses(String from, UpstreamState u, UpstreamLoad load, long validUntil) {
        Set<AdapterRef> adapters = new HashSet<>();
        load.getAdaptersList().forEach(k -> AdapterRef.parse(k).forEach(adapters::add));
        setPeerUses(from, u, adapters, validUntil);
    }

    private void setPeerUses(
            String from, UpstreamState u, Set<AdapterRef> adapters, long validUntil) {
        u.setPeerUses(from, adapters, validUntil).forEach(a -> listener.accept(u.id(), a));
    }
}
