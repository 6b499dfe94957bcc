package org.bronzehill.core.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Reads the reports of the engines held here, and lets their summaries be published. */
final class ReportSchedule {

    private static final Duration REPORT_INTERVAL = Duration.ofMillis(250);

    /** A report that was not answered in this time is asked for again. */
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(2);

    /** Changes within this time are told together. */
    private static final Duration PUBLISH_INTERVAL = Duration.ofMillis(100);

    private final CoreContext context;
    private final EngineDesk engines;
    private final SummaryPublisher summaries;
    private final Map<String, Long> nextRead = new HashMap<>();
    private long lastPublished;

    ReportSchedule(CoreContext context, EngineDesk engines, SummaryPublisher summaries) {
        this.context = context;
        this.engines = engines;
        this.summaries = summaries;
        this.lastPublished = context.time().nanoTime() - PUBLISH_INTERVAL.toNanos();
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
        if (now - lastPublished >= PUBLISH_INTERVAL.toNanos()) {
            lastPublished = now;
            summaries.onTick(out);
        }
    }

    /** Notes that the read of an engine's report has ended. */
    void onReportEnded(String engine) {
        nextRead.computeIfPresent(
                engine, (e, at) -> context.time().nanoTime() + REPORT_INTERVAL.toNanos());
    }
}
