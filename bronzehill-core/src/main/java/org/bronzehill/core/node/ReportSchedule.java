package org.bronzehill.core.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Schedules the reads of reports and cache events of the leased engines, and the publication of
 * their summaries.
 */
final class ReportSchedule {

    private static final Duration REPORT_INTERVAL = Duration.ofMillis(250);

    /** A report that has not arrived after this time is requested again. */
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(2);

    /**
     * Prefix affinity tolerates stale data, and engines publish cache events with a delay anyway.
     */
    private static final Duration CACHE_EVENTS_INTERVAL = Duration.ofSeconds(1);

    /** Changes within this interval are published in one message. */
    private static final Duration PUBLISH_INTERVAL = Duration.ofMillis(100);

    private final CoreContext context;
    private final LeasedEngines engines;
    private final SummaryPublisher summaryPublisher;
    private final Map<String, Long> nextReportReadNanos = new HashMap<>();
    private final Map<String, Long> nextCacheEventsReadNanos = new HashMap<>();
    private long lastPublishedNanos;

    ReportSchedule(CoreContext context, LeasedEngines engines, SummaryPublisher summaryPublisher) {
        this.context = context;
        this.engines = engines;
        this.summaryPublisher = summaryPublisher;
        this.lastPublishedNanos = context.time().nanoTime() - PUBLISH_INTERVAL.toNanos();
    }

    void onTick(Effects out) {
        long now = context.time().nanoTime();
        nextReportReadNanos.keySet().retainAll(engines.active().keySet());
        nextCacheEventsReadNanos.keySet().retainAll(engines.active().keySet());
        for (String engine : engines.active().keySet()) {
            if (now - nextReportReadNanos.getOrDefault(engine, now) >= 0) {
                nextReportReadNanos.put(engine, now + REPORT_TIMEOUT.toNanos());
                out.add(new Effect.ReadEngineReport(engine));
                readCacheEvents(engine, now, out);
            }
        }
        if (now - lastPublishedNanos >= PUBLISH_INTERVAL.toNanos()) {
            lastPublishedNanos = now;
            summaryPublisher.onTick(out);
        }
    }

    private void readCacheEvents(String engine, long now, Effects out) {
        if (now - nextCacheEventsReadNanos.getOrDefault(engine, now) >= 0) {
            nextCacheEventsReadNanos.put(engine, now + CACHE_EVENTS_INTERVAL.toNanos());
            long after = engines.active().get(engine).lastCacheEventSequence();
            out.add(new Effect.ReadCacheEvents(engine, after));
        }
    }

    /** Schedules the next read of an engine's report after one has ended. */
    void onReportEnded(String engine) {
        nextReportReadNanos.computeIfPresent(
                engine, (e, at) -> context.time().nanoTime() + REPORT_INTERVAL.toNanos());
    }
}
