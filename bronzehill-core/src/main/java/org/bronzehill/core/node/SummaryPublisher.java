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
 * Publishes the summaries of the leased engines to the instances of the region. Placement changes,
 * as defined by {@link SummaryDelta#differsInPlacement}, are sent at the next call of {@link
 * #onTick}, which {@link ReportSchedule} makes every 100 ms. Changed counts are sent less often.
 * Every summary of an engine after the first is sent as a delta.
 */
final class SummaryPublisher {

    private record PublishedSummary(EngineSummary summary, long atNanos) {}

    private final CoreContext context;
    private final Map<String, EngineScheduler> schedulers;
    private final Consumer<EngineSummaries> localListener;
    private final Map<String, PublishedSummary> published = new HashMap<>();

    /**
     * Creates a publisher.
     *
     * @param schedulers schedulers by engine id; a live view
     * @param localListener receives the full form of the published summaries
     */
    SummaryPublisher(
            CoreContext context,
            Map<String, EngineScheduler> schedulers,
            Consumer<EngineSummaries> localListener) {
        this.context = context;
        this.schedulers = schedulers;
        this.localListener = localListener;
    }

    /** Publishes the summaries that are due. */
    void onTick(Effects out) {
        published.keySet().retainAll(schedulers.keySet());
        int engines = engineCountInRegion();
        EngineSummaries.Builder full = EngineSummaries.newBuilder();
        EngineSummaries.Builder deltas = EngineSummaries.newBuilder();
        for (Map.Entry<String, EngineScheduler> e : schedulers.entrySet()) {
            EngineSummary next = summary(e.getValue());
            PublishedSummary last = published.get(e.getKey());
            if (isDue(last, next, engines)) {
                full.addSummaries(next);
                deltas.addSummaries(
                        last == null
                                ? next
                                : SummaryDelta.of(
                                        last.summary(),
                                        next,
                                        SummaryInterval.omitsRunningCounts(engines)));
                published.put(e.getKey(), new PublishedSummary(next, context.time().nanoTime()));
            }
        }
        if (full.getSummariesCount() > 0) {
            localListener.accept(full.build());
            broadcast(deltas, out);
        }
    }

    private EngineSummary summary(EngineScheduler scheduler) {
        return scheduler.summary().toBuilder().setHolder(context.selfId()).build();
    }

    private int engineCountInRegion() {
        String region = context.settings().self().region();
        return (int)
                context.membership().list().upstreams().stream()
                        .filter(u -> u.kind() == UpstreamKind.ENGINE && u.region().equals(region))
                        .count();
    }

    private boolean isDue(PublishedSummary last, EngineSummary next, int engines) {
        if (last == null || SummaryDelta.differsInPlacement(last.summary(), next)) {
            return true;
        }
        long age = context.time().nanoTime() - last.atNanos();
        boolean changed =
                !withoutVolatileFields(last.summary()).equals(withoutVolatileFields(next));
        return age >= SummaryInterval.betweenRepeats(engines).toNanos()
                || changed && age >= SummaryInterval.betweenCountUpdates(engines).toNanos();
    }

    /** Removes the sequence and the report age, which differ in every summary. */
    private static EngineSummary withoutVolatileFields(EngineSummary summary) {
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

    /** Sends the last published full summaries to a peer that lacks the base of a delta. */
    void onRequest(Envelope envelope, Effects out) {
        EngineSummaries.Builder message = EngineSummaries.newBuilder();
        for (String engine : envelope.getEngineSummariesRequest().getEnginesList()) {
            PublishedSummary last = published.get(engine);
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
