package org.bronzehill.core.node;

import java.time.Duration;
import java.util.List;
import org.bronzehill.config.Limits;

/** Immutable view of the state of a decision core. */
public record CoreStatus(
        String instance,
        long incarnation,
        Phase phase,
        String reason,
        ConfigurationView configuration,
        List<PeerView> peers,
        List<UpstreamView> upstreams,
        Counts counts) {

    public CoreStatus {
        peers = List.copyOf(peers);
        upstreams = List.copyOf(upstreams);
    }

    /** Lifecycle phase of the instance. */
    public enum Phase {
        /** Not ready yet, or repeating the readiness checks after a process pause. */
        CHECKING,
        /** Ready for requests. */
        READY,
        /** Completing open requests before a planned shutdown. */
        DRAINING,
        /** The planned shutdown has completed. */
        DRAINED
    }

    /**
     * Configuration in force.
     *
     * @param age time since the configuration service last confirmed this number or a higher one
     * @param staleReads number of configurations ignored because of a lower number
     */
    public record ConfigurationView(
            long number, Duration age, long staleReads, long adapters, Limits limits) {}

    /** A peer as this instance sees it. */
    public record PeerView(
            String id, long incarnation, String address, String dataCentre, String status) {}

    /**
     * An upstream as this instance sees it.
     *
     * @param holder likely holder of the lease; empty if unknown or not an engine
     * @param fencing fencing number of this instance's own lease; 0 if it is not the holder
     */
    public record UpstreamView(
            String id,
            String kind,
            String state,
            String dataCentre,
            String holder,
            long fencing,
            int running,
            int queued,
            List<AdapterView> adapters) {
        public UpstreamView {
            adapters = List.copyOf(adapters);
        }
    }

    /** An adapter on an engine. */
    public record AdapterView(
            String adapter, int version, boolean loading, int running, int waiting) {}

    /**
     * Sizes of the bounded tables, and the version of the instance list.
     *
     * @param openRequests open requests of this instance's callers
     * @param dispatched requests that run or queue at the engines leased by this instance, whether
     *     its own or forwarded by peers, and forwarded requests that wait for a newer configuration
     */
    public record Counts(int openRequests, int dispatched, int acts, long listVersion) {}
}
