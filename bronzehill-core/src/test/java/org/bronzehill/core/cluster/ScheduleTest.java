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

    /** A late refusal once kept a candidate from claiming for ever in this schedule. */
    private static final long LATE_REFUSAL = 1095;

    /** Faults that only some tests add. */
    private enum Sabotage {
        NONE,
        BROKEN_GRANTORS,
        FORGETFUL_STORE,
        NO_PUSHES
    }

    /** Guards against two holders, falling fencing numbers and falling configuration numbers. */
    @Test
    public void propertiesHoldUnderRandomSchedules() {
        for (long seed = 1; seed <= SCHEDULES; seed++) {
            assertEquals(run(seed, Sabotage.NONE).toString(), "[]", "seed " + seed);
        }
        assertEquals(run(LATE_REFUSAL, Sabotage.NONE).toString(), "[]");
    }

    /** Shows that the check of the holders notices grantors that grant to everybody. */
    @Test
    public void brokenGrantorsAreNoticed() {
        assertNoticed(Sabotage.BROKEN_GRANTORS, " held by ");
    }

    /** Shows that the check of the numbers notices an instance that forgets its configuration. */
    @Test
    public void decreasingNumberIsNoticed() {
        assertNoticed(Sabotage.FORGETFUL_STORE, " went back ");
    }

    /** Shows that the check of the spread notices instances that pass nothing on. */
    @Test
    public void missingSpreadIsNoticed() {
        assertNoticed(Sabotage.NO_PUSHES, " has number ");
    }

    private static void assertNoticed(Sabotage sabotage, String violation) {
        List<String> all = new ArrayList<>();
        for (long seed = 1; seed <= 5; seed++) {
            all.addAll(run(seed, sabotage));
        }
        assertFalse(all.stream().noneMatch(v -> v.contains(violation)), sabotage.name());
    }

    private static List<String> run(long seed, Sabotage sabotage) {
        SplittableRandom random = new SplittableRandom(seed);
        int instances = 3 + random.nextInt(7);
        VirtualCluster c = new VirtualCluster(seed, instances, 4, 3);
        c.scope = OwnershipScope.values()[random.nextInt(2)];
        c.service.publish(c.configuration(1));
        c.startAll();
        if (sabotage == Sabotage.BROKEN_GRANTORS) {
            c.nodes.values().forEach(n -> n.brokenGrantor = true);
        }
        c.filter = e -> sabotage != Sabotage.NO_PUSHES || !e.hasConfigurationPush();
        c.checkLeases(7 * MS);
        c.runFor(random.nextLong(5 * SECOND));
        for (int step = 0; step < 25; step++) {
            fault(c, random, instances, sabotage);
            c.runFor(random.nextLong(3 * SECOND));
        }
        recover(c, instances);
        c.service.publish(c.configuration(c.service.number() + 1));
        c.runFor(5 * SECOND);
        checkNumbers(c);
        c.runFor(8 * SECOND);
        if (sabotage == Sabotage.NONE && c.unheld() > 0) {
            c.violations.add(c.unheld() + " resources are not held after the faults");
        }
        return c.violations;
    }

    private static void fault(VirtualCluster c, SplittableRandom r, int n, Sabotage sabotage) {
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
                if (sabotage == Sabotage.FORGETFUL_STORE) {
                    node.store = ConfigurationStore.create();
                }
            }
            case 3 -> restart(c, node, sabotage);
            case 4 -> c.network.drop = r.nextInt(4) * 0.1;
            case 5 -> {
                c.network.slow = r.nextInt(3) * 0.2;
                c.network.slowNanos = r.nextLong(1, 3 * SECOND);
            }
            case 6 -> {
                String other = VirtualCluster.id(r.nextInt(n));
                c.network.block(node.id(), other);
                c.network.silence(other, node.id());
            }
            case 7 -> {
                c.service.down = r.nextBoolean();
                c.service.staleFor.clear();
                c.service.staleFor.add(node.id());
            }
            case 8 -> c.service.publish(c.configuration(c.service.number() + 1));
            default -> changeList(c, r, node);
        }
    }

    private static void restart(VirtualCluster c, VirtualNode node, Sabotage sabotage) {
        node.running = false;
        int i = Integer.parseInt(node.id().substring(1));
        c.start(i).brokenGrantor = sabotage == Sabotage.BROKEN_GRANTORS;
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

    private static void recover(VirtualCluster c, int instances) {
        c.network.heal();
        c.network.drop = 0;
        c.network.slow = 0;
        c.service.down = false;
        c.service.staleFor.clear();
        c.nodes.values().forEach(n -> n.listFrozen = false);
        VirtualCluster whole = new VirtualCluster(0, instances, 4, 3);
        c.publishList(whole.list.instances());
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
