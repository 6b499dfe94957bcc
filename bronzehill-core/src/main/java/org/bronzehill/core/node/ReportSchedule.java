package org.bronzehill.core.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.bronzehill.core.engine.EngineScheduler;
import org.bronzehill.core.membership.Peer;
import org.bronzehill.protocol.generated.EngineSummaries;
import org.bronzehill.protocol.generated.EngineSummary;
import org.bronzehill.protocol.generated.Envelope;

/** Reads the reports of the engines held here and publishes their summaries. */
final class ReportSchedule {

    private static final Duration REPORT_INTERVAL = Duration.ofMillis(250);

    /** A report that was not answered in this time is asked for again. */
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(2);

    private static final Duration CHANGE_INTERVAL = Duration.ofMillis(100);
    private static final Duration FULL_INTERVAL = Duration.ofSeconds(1);

    private final CoreContext context;
    private final EngineDesk engines;
    private final Consumer<EngineSummaries> local;
    private final Map<String, Long> nextRead = new HashMap<>();
    private Map<String, EngineSummary> published = Map.of();
    private long lastChange;
    private long lastFull;

    /**
     * Creates a schedule.
     *
     * @param local receives what is also sent to the peers
     */
    ReportSchedule(CoreContext context, EngineDesk engines, Consumer<EngineSummaries> local) {
        this.context = context;
        this.engines = engines;
        this.local = local;
        this.lastChange = context.time().nanoTime() - FULL_INTERVAL.toNanos();
        this.lastFull = lastChange;
    }

    void onTick(Effects out) {
        long now = context.time().nanoTime();
        nextRead.keySet().retainAll(engines.held().keySet());
        for (String engine : engines.held().keySet()) {
            if (now - nextRead.getOrDefault(engine, now) >= 0) {
                nextRead.put(engine, now + REPORT_TIMEOUT.toNanos());
                out.add(new Effect.ReadEngineReport(engine));
            }
        }
        if (now - lastChange >= CHANGE_INTERVAL.toNanos()) {
            lastChange = now;
            publish(now, out);
        }
    }

    /** Notes that the read of an engine's report has ended. */
    void onReportEnded(String engine) {
        nextRead.computeIfPresent(
                engine, (e, at) -> context.time().nanoTime() + REPORT_INTERVAL.toNanos());
    }

    private void publish(long now, Effects out) {
        boolean full = now - lastFull >= FULL_INTERVAL.toNanos();
        Map<String, EngineSummary> present = new LinkedHashMap<>();
        EngineSummaries.Builder message = EngineSummaries.newBuilder();
        for (Map.Entry<String, EngineScheduler> e : engines.held().entrySet()) {
            EngineSummary summary =
                    e.getValue().summary().toBuilder().setHolder(context.selfId()).build();
            EngineSummary comparable = comparable(summary);
            present.put(e.getKey(), comparable);
            if (full || !comparable.equals(published.get(e.getKey()))) {
                message.addSummaries(summary);
            }
        }
        published = present;
        if (full) {
            lastFull = now;
        }
        if (message.getSummariesCount() > 0) {
            send(message.build(), out);
        }
    }

    /** The sequence and the age change on every call and are no change worth telling. */
    private static EngineSummary comparable(EngineSummary summary) {
        return summary.toBuilder().clearSequence().clearReportAgeMs().build();
    }

    private void send(EngineSummaries message, Effects out) {
        local.accept(message);
        String region = context.settings().self().region();
        for (Peer p : context.membership().peers()) {
            if (p.status().isLive() && p.ref().region().equals(region)) {
                out.add(
                        new Effect.SendPeer(
                                p.id(), Envelope.newBuilder().setEngineSummaries(message), false));
            }
        }
    }
}
