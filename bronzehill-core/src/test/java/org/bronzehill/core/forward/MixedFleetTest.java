package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests on virtual time a fleet that is large enough for collectors, and in which some instances
 * are of an earlier build that chooses collectors without regard to links.
 */
public class MixedFleetTest {

    private static final int SIZE = 30;
    private static final int DATA_CENTRES = 2;
    private static final int CALLS = 12;
    private static final int FAST = 1000;
    private static final int SLOW = 10;
    private static final Duration SETTLED = Duration.ofSeconds(8);
    private static final Duration SPREAD = Duration.ofSeconds(3);

    private static FleetRig fleet(int earlierInstances) {
        return new FleetRig(
                SIZE,
                DATA_CENTRES,
                4,
                6,
                number -> number % 5 == 0 ? FAST : SLOW,
                number -> number < earlierInstances);
    }

    @DataProvider
    public static Object[][] earlierInstances() {
        return new Object[][] {{1}, {SIZE / 2}, {SIZE - 1}};
    }

    /** Shows that the other tests have what they guard against. */
    @Test
    public void buildsChooseDifferentCollectors() {
        FleetRig rig = fleet(SIZE / 2);
        rig.run(SETTLED);
        rig.clearReceived();
        rig.run(SPREAD);
        assertTrue(rig.collectors().size() > DATA_CENTRES, "" + rig.collectors().size());
    }

    /** Guards against loads that are unknown or count twice because collectors differ. */
    @Test(dataProvider = "earlierInstances")
    public void loadsAreKnownEverywhere(int earlier) {
        FleetRig rig = fleet(earlier);
        rig.run(SETTLED);
        List<FakeTransport> open = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            open.add(rig.node(i * 2).call());
        }
        rig.run(SPREAD);
        assertEquals(rig.views("p1"), Set.of(CALLS));
        open.forEach(t -> t.call().onComplete(200));
        rig.run(SPREAD);
        assertEquals(rig.views("p1"), Set.of(0));
    }

    /** Guards against loads that are unknown while instances are replaced one after the other. */
    @Test(dataProvider = "earlierInstances")
    public void loadsAreKnownAgainAfterReplacements(int earlier) {
        FleetRig rig = fleet(earlier);
        rig.run(SETTLED);
        for (int i = 0; i < CALLS; i++) {
            rig.node(i * 2).call();
        }
        for (int i = 1; i < SIZE; i += 4) {
            rig.restart(i);
            rig.run(Duration.ofSeconds(1));
        }
        rig.run(SPREAD);
        assertEquals(rig.views("p1"), Set.of(CALLS));
    }

    /** Guards against adapters that are not loaded because two builds hold claims and requests. */
    @Test(dataProvider = "earlierInstances")
    public void adaptersAreLoadedForInstancesOfBothBuilds(int earlier) {
        FleetRig rig = fleet(earlier);
        rig.run(SETTLED);
        List<FakeTransport> open = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            open.add(rig.node(i * 2).stream(ForwardRig.adapter(i)));
        }
        rig.run(SPREAD);
        assertTrue(open.stream().allMatch(t -> t.attempts().size() == 1));
    }
}
