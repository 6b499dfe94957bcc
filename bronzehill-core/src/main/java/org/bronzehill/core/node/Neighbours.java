package org.bronzehill.core.node;

import io.vavr.control.Option;
import java.util.Set;
import org.bronzehill.core.engine.EngineRequest;
import org.bronzehill.core.engine.PlacementView;
import org.bronzehill.core.model.AdapterVersion;
import org.bronzehill.core.placement.RouteCandidate;
import org.bronzehill.core.placement.RouteQuery;
import org.bronzehill.core.placement.Router;
import org.bronzehill.protocol.generated.EngineSummary;

/** What the latest summaries tell a scheduler about the other engines. */
final class Neighbours implements PlacementView {

    private final Router router;
    private final StatusView view;

    Neighbours(Router router, StatusView view) {
        this.router = router;
        this.view = view;
    }

    @Override
    public int residentElsewhere(AdapterVersion adapter, String engine) {
        return (int)
                view.summaries().values().stream()
                        .filter(s -> !s.getEngine().equals(engine) && s.getAvailable())
                        .filter(s -> isResident(s, adapter))
                        .count();
    }

    private static boolean isResident(EngineSummary summary, AdapterVersion adapter) {
        return summary.getAdaptersList().stream()
                .anyMatch(
                        a ->
                                a.getAdapter().equals(adapter.adapter())
                                        && a.getVersion() == adapter.version()
                                        && !a.getLoading());
    }

    @Override
    public Option<String> betterEngine(EngineRequest request, String engine) {
        RouteQuery query =
                new RouteQuery(
                        request.adapter(),
                        request.kind(),
                        request.prefixHash(),
                        Set.of(engine),
                        "");
        return Option.ofOptional(
                router.explain(query).stream()
                        .filter(c -> !c.holder().isEmpty())
                        .map(RouteCandidate::engine)
                        .filter(this::hasRoom)
                        .findFirst());
    }

    private boolean hasRoom(String engine) {
        EngineSummary summary = view.summaries().get(engine);
        return summary != null
                && summary.getAvailable()
                && summary.getRunning() + summary.getQueued() < summary.getBatchSize();
    }
}
