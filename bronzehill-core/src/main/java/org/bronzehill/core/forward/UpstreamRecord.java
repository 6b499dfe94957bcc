package org.bronzehill.core.forward;

import java.util.Map;
import java.util.Set;

/**
 * Record of one upstream as the platform publishes it.
 *
 * @param startedAtMs start of its incarnation, Unix time in ms; 0 if unknown
 * @param slots number of requests that it runs in parallel
 * @param softwareVersion version of the software that it runs, which has no order; empty if it does
 *     not state one
 * @param draining whether it has announced that it is leaving
 * @param models base models that it holds
 * @param adapters adapters that it held when the record was written, with their versions
 */
public record UpstreamRecord(
        String id,
        long startedAtMs,
        String service,
        String host,
        int port,
        String dataCentre,
        int slots,
        String softwareVersion,
        boolean draining,
        Set<String> models,
        Map<AdapterRef, Integer> adapters) {

    public UpstreamRecord {
        models = Set.copyOf(models);
        adapters = Map.copyOf(adapters);
    }

    /**
     * Returns whether both records agree in everything that routing depends on, apart from the
     * models and adapters held.
     */
    public boolean hasSameRouting(UpstreamRecord other) {
        return sameIncarnation(other)
                && service.equals(other.service)
                && dataCentre.equals(other.dataCentre)
                && slots == other.slots
                && softwareVersion.equals(other.softwareVersion)
                && draining == other.draining;
    }

    /** Returns whether both records describe the same incarnation of the upstream. */
    public boolean sameIncarnation(UpstreamRecord other) {
        return id.equals(other.id)
                && startedAtMs == other.startedAtMs
                && host.equals(other.host)
                && port == other.port;
    }
}
