package org.bronzehill.core.node;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.bronzehill.core.placement.SummaryDelta;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.EngineSummaries;
import org.bronzehill.protocol.generated.EngineSummariesRequest;
import org.bronzehill.protocol.generated.EngineSummary;
import org.bronzehill.protocol.generated.Envelope;

/**
 * The latest summary of each engine. Received deltas are expanded, and a full summary is requested
 * if the base of a delta is missing.
 */
final class SummaryTable {

    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(500);

    private final TimeSource time;
    private final Map<String, EngineSummary> latest = new HashMap<>();
    private final Map<String, Long> requested = new HashMap<>();

    SummaryTable(TimeSource time) {
        this.time = time;
    }

    /**
     * Stores and returns the full form of the summaries that a peer sent, without outdated ones and
     * those whose base is missing.
     */
    EngineSummaries accept(String from, EngineSummaries message, Effects out) {
        EngineSummaries.Builder complete = EngineSummaries.newBuilder();
        EngineSummariesRequest.Builder missing = EngineSummariesRequest.newBuilder();
        for (EngineSummary s : message.getSummariesList()) {
            if (isOutdated(s)) {
                continue;
            }
            Option<EngineSummary> full = SummaryDelta.expand(latest.get(s.getEngine()), s);
            if (full.isDefined()) {
                put(full.get());
                complete.addSummaries(full.get());
            } else if (mayRequest(s)) {
                missing.addEngines(s.getEngine());
            }
        }
        if (missing.getEnginesCount() > 0) {
            Envelope.Builder request = Envelope.newBuilder().setEngineSummariesRequest(missing);
            out.add(new Effect.SendPeer(from, request, false));
        }
        return complete.build();
    }

    /** A message of a former holder may arrive after the first message of its successor. */
    private boolean isOutdated(EngineSummary summary) {
        EngineSummary known = latest.get(summary.getEngine());
        return known != null && known.getFencing() > summary.getFencing();
    }

    private boolean mayRequest(EngineSummary summary) {
        long now = time.nanoTime();
        Long last = requested.get(summary.getEngine());
        if (last != null && now - last < REQUEST_INTERVAL.toNanos()) {
            return false;
        }
        requested.put(summary.getEngine(), now);
        return true;
    }

    /** Stores a full summary. */
    void put(EngineSummary summary) {
        latest.put(summary.getEngine(), summary);
        requested.remove(summary.getEngine());
    }

    /** Removes engines that are no longer listed. */
    void retain(Collection<String> engines) {
        latest.keySet().retainAll(engines);
        requested.keySet().retainAll(engines);
    }
}
