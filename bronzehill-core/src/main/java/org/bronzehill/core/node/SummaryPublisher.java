package org.bronzehill.core.node;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.bronzehill.core.engine.EngineScheduler;
import org.bronzehill.core.membership.Peer;
import org.bronzehill.core.model.UpstreamKind;
import org.bronzehill.core.placement.SummaryDelta;
import org.bronzehill.core.placement.SummaryInterval;
import org.bronzehill.protocol.generated.EngineSummaries;
import org.bronzehill.protocol.generated.EngineSummary;
import org.bronzehill.protocol.generated.Envelope;

/**
 * Publishes the summaries of the engines held here to the instances of the region. Changes of
 * placement are sent with the next tick, changes of counts less often, and all but the first
 * summary as deltas.
 */
final class SummaryPublisher {

    private record Published(EngineSummary summary, long atNanos) {}

    private final CoreContext context;
    private final Map<String, EngineScheduler> held;
    private final Consumer<EngineSummaries> local;
    private final Map<String, Published> published = new HashMap<>();

    /**
     * Creates a publisher.
     *
     * @param held schedulers by engine; a live view
     * @param local receives the full summaries that peers can compose from what is sent to them
     */
    SummaryPublisher(
            CoreContext context,
            Map<String, EngineScheduler> held,
            Consumer<EngineSummaries> local) {
        this.context = context;
        this.held = held;
        this.local = local;
    }

    /** Publishes what is due. */
    void onTick(Effects out) {
        published.keySet().retainAll(held.keySet());
        int engines = engines();
        EngineSummaries.Builder full = EngineSummaries.newBuilder();
        EngineSummaries.Builder shortened = EngineSummaries.newBuilder();
        for (Map.Entry<String, EngineScheduler> e : held.entrySet()) {
            EngineSummary next = summary(e.getValue());
            Published last = published.get(e.getKey());
            if (isDue(last, next, engines)) {
                full.addSummaries(next);
                shortened.addSummaries(
                        last == null
                                ? next
                                : SummaryDelta.of(
                                        last.summary(),
                                        next,
                                        SummaryInterval.omitsRunningCounts(engines)));
                published.put(e.getKey(), new Published(next, context.time().nanoTime()));
            }
        }
        if (full.getSummariesCount() > 0) {
            local.accept(full.build());
            broadcast(shortened, out);
        }
    }

    private EngineSummary summary(EngineScheduler scheduler) {
        return scheduler.summary().toBuilder().setHolder(context.selfId()).build();
    }

    private int engines() {
        String region = context.settings().self().region();
        return (int)
                context.membership().list().upstreams().stream()
                        .filter(u -> u.kind() == UpstreamKind.ENGINE && u.region().equals(region))
                        .count();
    }

    private boolean isDue(Published last, EngineSummary next, int engines) {
        if (last == null || SummaryDelta.differsInPlacement(last.summary(), next)) {
            return true;
        }
        long age = context.time().nanoTime() - last.atNanos();
        boolean changed = !comparable(last.summary()).equals(comparable(next));
        return age >= SummaryInterval.betweenRepeats(engines).toNanos()
                || changed && age >= SummaryInterval.betweenCountUpdates(engines).toNanos();
    }

    /** The sequence and the age change on every call and are no change worth telling. */
    private static EngineSummary comparable(EngineSummary summary) {
        return summary.toBuilder().clearSequence().clearReportAgeMs().build();
    }

    private void broadcast(EngineSummaries.Builder message, Effects out) {
        String region = context.settings().self().region();
        for (Peer p : context.membership().peers()) {
            if (p.status().isLive() && p.ref().region().equals(region)) {
                send(p.id(), message.clone(), out);
            }
        }
    }

    /** Answers a peer that lacks the base of a delta with the full summaries published last. */
    void onRequest(Envelope envelope, Effects out) {
        EngineSummaries.Builder message = EngineSummaries.newBuilder();
        for (String engine : envelope.getEngineSummariesRequest().getEnginesList()) {
            Published last = published.get(engine);
            if (last != null) {
                message.addSummaries(last.summary());
            }
        }
        if (message.getSummariesCount() > 0) {
            send(envelope.getFrom(), message, out);
        }
    }

    private static void send(String peer, EngineSummaries.Builder message, Effects out) {
        out.add(
                new Effect.SendPeer(
                        peer, Envelope.newBuilder().setEngineSummaries(message), false));
    }
}
