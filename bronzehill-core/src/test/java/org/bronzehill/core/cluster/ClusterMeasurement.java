package org.bronzehill.core.cluster;

import static org.bronzehill.core.cluster.VirtualCluster.SECOND;

import java.util.HashMap;
import java.util.Map;
import org.bronzehill.config.OwnershipScope;
import org.bronzehill.protocol.generated.Envelope;

/**
 * Prints messages, bytes and CPU time per instance and second of a fleet without faults. Bytes are
 * those of the envelopes; the CPU time includes building the envelopes and computing their size.
 */
public final class ClusterMeasurement {

    private static final int SECONDS = 30;

    private ClusterMeasurement() {}

    public static void main(String[] args) {
        int[][] fleets = {{9, 8, 3}, {9, 8, 3}, {50, 80, 5}, {150, 240, 5}, {380, 600, 5}};
        System.out.println(
                "| instances | engines | scope | kind | messages/s | bytes/s | CPU ms/s |");
        for (int[] f : fleets) {
            for (OwnershipScope scope : OwnershipScope.values()) {
                measure(f[0], f[1], f[2], scope);
            }
        }
    }

    private static void measure(int n, int engines, int dataCentres, OwnershipScope scope) {
        VirtualCluster c = new VirtualCluster(1, n, engines, dataCentres);
        c.scope = scope;
        c.service.publish(c.configuration(1));
        c.startAll();
        c.runFor(20 * SECOND);
        Map<String, long[]> byKind = new HashMap<>();
        c.messageFilter =
                e -> {
                    long[] sum = byKind.computeIfAbsent(kind(e), k -> new long[2]);
                    sum[0]++;
                    sum[1] += e.getSerializedSize();
                    return true;
                };
        long cpu = c.running().stream().mapToLong(x -> x.cpuNanos).sum();
        c.runFor(SECONDS * SECOND);
        cpu = c.running().stream().mapToLong(x -> x.cpuNanos).sum() - cpu;
        double instanceSeconds = (double) SECONDS * n;
        byKind.forEach(
                (kind, sum) ->
                        System.out.printf(
                                "| %d | %d | %s | %s | %.1f | %.0f | |%n",
                                n,
                                engines,
                                scope,
                                kind,
                                sum[0] / instanceSeconds,
                                sum[1] / instanceSeconds));
        System.out.printf(
                "| %d | %d | %s | all | | | %.2f |%n",
                n, engines, scope, cpu / 1e6 / instanceSeconds);
        System.out.printf(
                "unheld %d, most leases at one instance %d, list change %.1f ms per instance%n",
                c.unheldResources(),
                c.running().stream().mapToInt(x -> x.leases.heldResources().size()).max().orElse(0),
                listChange(c) / 1e6 / n);
    }

    private static String kind(Envelope e) {
        return switch (e.getBodyCase()) {
            case PING, ACK, PING_REQUEST, LEAVING -> "membership";
            case LEASE_REQUEST, LEASE_REPLY, LEASE_RELEASE -> "leases";
            default -> "other";
        };
    }

    /** Returns the CPU time of all instances for applying a list that lacks one instance. */
    private static long listChange(VirtualCluster c) {
        c.publishList(c.list.instances().subList(1, c.list.instances().size()));
        long cpu = 0;
        for (VirtualNode node : c.running()) {
            long before = node.cpuNanos;
            node.onListRead(c.list);
            cpu += node.cpuNanos - before;
        }
        return cpu;
    }
}
