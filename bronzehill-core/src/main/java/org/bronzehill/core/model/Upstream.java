package org.bronzehill.core.model;

import java.net.URI;
import java.util.Set;

/**
 * An upstream as described by the published instance list.
 *
 * @param engineProperties fixed properties of an engine
 * @param checksFencing whether the engine rejects adapter loads, evictions and role changes that
 *     carry an old fencing number
 * @param services services offered by an application runner
 */
public record Upstream(
        String id,
        UpstreamKind kind,
        URI uri,
        String dataCentre,
        String region,
        ListedState state,
        EngineProperties engineProperties,
        boolean checksFencing,
        Set<String> services) {

    /**
     * Fixed properties of an engine.
     *
     * @param baseModel name of the base model; empty for an application runner
     * @param adapterSlots maximum number of adapters loaded at the same time
     * @param batchSize maximum number of requests that run at the same time
     */
    public record EngineProperties(String baseModel, int adapterSlots, int batchSize) {

        /** Properties of an upstream that is not an engine. */
        public static final EngineProperties NONE = new EngineProperties("", 0, 0);
    }

    public Upstream {
        services = Set.copyOf(services);
    }

    /** Returns whether new requests may be sent to the upstream. */
    public boolean acceptsWork() {
        return state == ListedState.LIVE;
    }
}
