package org.bronzehill.core.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Reads the reports and cache events of the engines held here, and lets their summaries be
 * published.
 */
final class ReportSchedule {

    private static final Duration REPORT_INTERVAL = Duration.ofMillis(250);

    /** A report that was not answered in this time is asked for again. */
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(2);

    /** Prefix affinity bears a delay; engines publish cache events late anyway. */
    private static final Duration CACHE_EVENTS_INTERVAL = Duration.ofSeconds(1);

    /** Changes within this time are told together. */
    private static final Duration PUBLISH_INTERVAL = Duration.ofMillis(100);

    private final CoreContext context;
    private final HeldEngines engines;
    private final SummaryPublisher summaries;
    private final Map<String, Long> nextRead = new HashMap<>();
    private final Map<String, Long> nextCacheEvents = new HashMap<>();
    private long lastPublished;

    ReportSchedule(CoreContext context, HeldEngines engines, SummaryPublisher summaries) {
        this.context = context;
        this.engines = engines;
        this.summaries = summaries;
        this.lastPublished = context.time().nanoTime() - PUBLISH_INTERVAL.toNanos();
    }

    void onTick(Effects out) {
        long now = context.time().nanoTime();
        nextRead.keySet().retainAll(engines.held().keySet());
        nextCacheEvents.keySet().retainAll(engines.held().keySet());
        for (String engine : engines.held().keySet()) {
            if (now - nextRead.getOrDefault(engine, now) >= 0) {
                nextRead.put(engine, now + REPORT_TIMEOUT.toNanos());
                out.add(new Effect.ReadEngineReport(engine));
                readCacheEvents(engine, now, out);
            }
        }
        if (now - lastPublished >= PUBLISH_INTERVAL.toNanos()) {
            lastPublished = now;
            summaries.onTick(out);
        }
    }

    private void readCacheEvents(String engine, long now, Effects out) {
        if (now - nextCacheEvents.getOrDefault(engine, now) >= 0) {
            nextCacheEvents.put(engine, now + CACHE_EVENTS_INTERVAL.toNanos());
            long after = engines.held().get(engine).lastCacheEventSequence();
            out.add(new Effect.ReadCacheEvents(engine, after));
        }
    }

    /** Notes that the read of an engine's report has ended. */
    void onReportEnded(String engine) {
        nextRead.computeIfPresent(
                engine, (e, at) -> context.time().nanoTime() + REPORT_INTERVAL.toNanos());
    }
}
