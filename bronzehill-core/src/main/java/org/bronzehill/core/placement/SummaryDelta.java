package org.bronzehill.core.placement;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bronzehill.protocol.generated.EngineSummary;
import org.bronzehill.protocol.generated.ResidentAdapter;

/**
 * Encodes a summary as a delta from an earlier one. Resident adapters and prefixes make up most of
 * a summary but change only with loads, evictions and running requests.
 */
public final class SummaryDelta {

    private SummaryDelta() {}

    /**
     * Returns the delta from {@code base} to {@code next}. It leaves out the base model and the
     * data centre, which never change for an engine; the receiver takes them from the base.
     *
     * @param omitRunningCounts leaves out adapters of which only the number of running requests has
     *     changed
     */
    public static EngineSummary of(
            EngineSummary base, EngineSummary next, boolean omitRunningCounts) {
        Map<String, ResidentAdapter> before = byName(base);
        Map<String, ResidentAdapter> after = byName(next);
        EngineSummary.Builder delta =
                next.toBuilder()
                        .clearAdapters()
                        .clearBaseModel()
                        .clearDataCentre()
                        .setBaseSequence(base.getSequence());
        after.forEach(
                (name, adapter) -> {
                    if (differs(before.get(name), adapter, omitRunningCounts)) {
                        delta.addAdapters(adapter);
                    }
                });
        before.keySet().stream()
                .filter(name -> !after.containsKey(name))
                .forEach(delta::addRemovedAdapters);
        if (base.getPrefixesList().equals(next.getPrefixesList())) {
            delta.clearPrefixes().setPrefixesUnchanged(true);
        }
        return delta.build();
    }

    private static boolean differs(
            ResidentAdapter before, ResidentAdapter after, boolean omitRunningCounts) {
        if (before == null || !omitRunningCounts) {
            return !after.equals(before);
        }
        return before.getLoading() != after.getLoading()
                || before.getWaiting() != after.getWaiting();
    }

    /**
     * Returns the full summary for a received one, which may be a delta. Returns none if it is a
     * delta and {@code known} is not its base.
     *
     * @param known latest full summary of the engine; null if there is none
     */
    public static Option<EngineSummary> expand(EngineSummary known, EngineSummary received) {
        if (received.getBaseSequence() == 0) {
            return Option.some(received);
        }
        if (known == null
                || known.getSequence() != received.getBaseSequence()
                || known.getFencing() != received.getFencing()
                || !known.getHolder().equals(received.getHolder())) {
            return Option.none();
        }
        Map<String, ResidentAdapter> adapters = byName(known);
        received.getRemovedAdaptersList().forEach(adapters::remove);
        received.getAdaptersList().forEach(a -> adapters.put(name(a), a));
        EngineSummary.Builder full =
                received.toBuilder()
                        .clearBaseSequence()
                        .clearRemovedAdapters()
                        .clearPrefixesUnchanged()
                        .setBaseModel(known.getBaseModel())
                        .setDataCentre(known.getDataCentre())
                        .clearAdapters()
                        .addAllAdapters(adapters.values());
        if (received.getPrefixesUnchanged()) {
            full.clearPrefixes().addAllPrefixes(known.getPrefixesList());
        }
        return Option.some(full.build());
    }

    /**
     * Returns whether two summaries differ in the adapters that are resident or loading, in whether
     * the engine accepts work, in the fencing number or in the adapter slots. Request counts and
     * prefixes are not compared.
     */
    public static boolean differsInPlacement(EngineSummary a, EngineSummary b) {
        return a.getAvailable() != b.getAvailable()
                || a.getLeaving() != b.getLeaving()
                || a.getFencing() != b.getFencing()
                || a.getAdapterSlots() != b.getAdapterSlots()
                || !placements(a).equals(placements(b));
    }

    private static List<String> placements(EngineSummary summary) {
        List<String> names = new ArrayList<>();
        for (ResidentAdapter a : summary.getAdaptersList()) {
            names.add(name(a) + (a.getLoading() ? " loading" : ""));
        }
        names.sort(null);
        return names;
    }

    private static Map<String, ResidentAdapter> byName(EngineSummary summary) {
        Map<String, ResidentAdapter> adapters = new LinkedHashMap<>();
        summary.getAdaptersList().forEach(a -> adapters.put(name(a), a));
        return adapters;
    }

    private static String name(ResidentAdapter adapter) {
        return adapter.getAdapter() + '@' + adapter.getVersion();
    }
}
