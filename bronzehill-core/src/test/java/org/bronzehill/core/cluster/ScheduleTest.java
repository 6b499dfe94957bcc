package org.bronzehill.core.cluster;

import static org.bronzehill.core.cluster.VirtualCluster.MS;
import static org.bronzehill.core.cluster.VirtualCluster.SECOND;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.bronzehill.config.ConfigurationStore;
import org.bronzehill.config.OwnershipScope;
import org.bronzehill.core.model.ListedInstance;
import org.bronzehill.core.model.ListedState;
import org.testng.annotations.Test;

/**
 * Properties under random schedules of delays, losses, partitions, pauses, restarts and list
 * changes: a resource has one holder among the instances with equal list versions, fencing grows
 * with every holder, and the configuration number never decreases and reaches every instance.
 */
public class ScheduleTest {

    private static final int SCHEDULES = 60;

    /** In this schedule, a late refusal once stopped a candidate from ever claiming again. */
    private static final long LATE_REFUSAL_SEED = 1095;

    /** Defects that a test injects to check that the properties detect them. */
    private enum InjectedFault {
        NONE,
        GRANTORS_GRANT_EVERYTHING,
        CONFIGURATION_LOST,
        NO_CONFIGURATION_PUSHES
    }

    /** Guards against two holders, falling fencing numbers and falling configuration numbers. */
    @Test
    public void propertiesHoldUnderRandomSchedules() {
        for (long seed = 1; seed <= SCHEDULES; seed++) {
            assertEquals(run(seed, InjectedFault.NONE).toString(), "[]", "seed " + seed);
        }
        assertEquals(run(LATE_REFUSAL_SEED, InjectedFault.NONE).toString(), "[]");
    }

    /** Checks that the holder property detects grantors that grant every claim. */
    @Test
    public void grantorsThatGrantEverythingAreDetected() {
        assertDetected(InjectedFault.GRANTORS_GRANT_EVERYTHING, " held by ");
    }

    /** Checks that the number property detects an instance that loses its configuration. */
    @Test
    public void decreasingNumberIsDetected() {
        assertDetected(InjectedFault.CONFIGURATION_LOST, " went back ");
    }

    /**
     * Checks that the propagation property detects instances that do not forward configurations.
     */
    @Test
    public void missingPropagationIsDetected() {
        assertDetected(InjectedFault.NO_CONFIGURATION_PUSHES, " has number ");
    }

    private static void assertDetected(InjectedFault injected, String violation) {
        List<String> all = new ArrayList<>();
        for (long seed = 1; seed <= 5; seed++) {
            all.addAll(run(seed, injected));
        }
        assertFalse(all.stream().noneMatch(v -> v.contains(violation)), injected.name());
    }

    private static List<String> run(long seed, InjectedFault injected) {
        SplittableRandom random = new SplittableRandom(seed);
        int instances = 3 + random.nextInt(7);
        VirtualCluster c = new VirtualCluster(seed, instances, 4, 3);
        c.scope = OwnershipScope.values()[random.nextInt(2)];
        c.service.publish(c.configuration(1));
        c.startAll();
        if (injected == InjectedFault.GRANTORS_GRANT_EVERYTHING) {
            c.nodes.values().forEach(n -> n.grantsEverything = true);
        }
        c.messageFilter =
                e -> injected != InjectedFault.NO_CONFIGURATION_PUSHES || !e.hasConfigurationPush();
        c.checkLeasesPeriodically(7 * MS);
        c.runFor(random.nextLong(5 * SECOND));
        for (int step = 0; step < 25; step++) {
            injectRandomFault(c, random, instances, injected);
            c.runFor(random.nextLong(3 * SECOND));
        }
        endAllFaults(c, instances);
        c.service.publish(c.configuration(c.service.number() + 1));
        c.runFor(5 * SECOND);
        checkNumbers(c);
        c.runFor(8 * SECOND);
        if (injected == InjectedFault.NONE && c.unheldResources() > 0) {
            c.violations.add(c.unheldResources() + " resources are not held after the faults");
        }
        return c.violations;
    }

    private static void injectRandomFault(
            VirtualCluster c, SplittableRandom r, int n, InjectedFault injected) {
        VirtualNode node = c.nodes.get(VirtualCluster.id(r.nextInt(n)));
        switch (r.nextInt(10)) {
            case 0 -> {
                Set<String> one = new TreeSet<>();
                Set<String> other = new TreeSet<>();
                c.nodes.keySet().forEach(id -> (r.nextBoolean() ? one : other).add(id));
                c.network.partition(one, other);
            }
            case 1 -> c.network.heal();
            case 2 -> {
                if (node.running && !node.paused()) {
                    node.pause(r.nextLong(6 * SECOND));
                }
                if (injected == InjectedFault.CONFIGURATION_LOST) {
                    node.store = ConfigurationStore.create();
                }
            }
            case 3 -> restart(c, node, injected);
            case 4 -> c.network.dropProbability = r.nextInt(4) * 0.1;
            case 5 -> {
                c.network.slowProbability = r.nextInt(3) * 0.2;
                c.network.maxSlowExtraNanos = r.nextLong(1, 3 * SECOND);
            }
            case 6 -> {
                String other = VirtualCluster.id(r.nextInt(n));
                c.network.block(node.id(), other);
                c.network.silenceOpenConnection(other, node.id());
            }
            case 7 -> {
                c.service.down = r.nextBoolean();
                c.service.staleForInstances.clear();
                c.service.staleForInstances.add(node.id());
            }
            case 8 -> c.service.publish(c.configuration(c.service.number() + 1));
            default -> changeList(c, r, node);
        }
    }

    private static void restart(VirtualCluster c, VirtualNode node, InjectedFault injected) {
        node.running = false;
        int i = Integer.parseInt(node.id().substring(1));
        c.start(i).grantsEverything = injected == InjectedFault.GRANTORS_GRANT_EVERYTHING;
    }

    private static void changeList(VirtualCluster c, SplittableRandom r, VirtualNode node) {
        node.listFrozen = r.nextBoolean();
        List<ListedInstance> listed = new ArrayList<>();
        for (ListedInstance i : c.list.instances()) {
            ListedState state = r.nextInt(8) == 0 ? ListedState.LEAVING : ListedState.LIVE;
            listed.add(new ListedInstance(i.ref(), state));
        }
        if (r.nextBoolean() && listed.size() > 2) {
            listed.remove(r.nextInt(listed.size()));
        }
        c.publishList(listed);
    }

    private static void endAllFaults(VirtualCluster c, int instances) {
        c.network.heal();
        c.network.dropProbability = 0;
        c.network.slowProbability = 0;
        c.service.down = false;
        c.service.staleForInstances.clear();
        c.nodes.values().forEach(n -> n.listFrozen = false);
        VirtualCluster complete = new VirtualCluster(0, instances, 4, 3);
        c.publishList(complete.list.instances());
        c.runFor(15 * SECOND);
    }

    private static void checkNumbers(VirtualCluster c) {
        for (VirtualNode n : c.running()) {
            if (n.store.current().number() != c.service.number()) {
                c.violations.add(
                        n.id()
                                + " has number "
                                + n.store.current().number()
                                + " instead of "
                                + c.service.number());
            }
        }
    }
}
