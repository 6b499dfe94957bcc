package org.bronzehill.core.cluster;

import static org.bronzehill.core.cluster.VirtualCluster.SECOND;
import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Leases of several instances under the failures of the design page. */
public class LeaseClusterTest {

    static VirtualCluster started(long seed, int instances, int engines, int dataCentres) {
        VirtualCluster c = new VirtualCluster(seed, instances, engines, dataCentres);
        c.service.publish(c.configuration(1));
        c.startAll();
        c.checkLeases(5 * VirtualCluster.MS);
        c.runFor(6 * SECOND);
        return c;
    }

    /** Guards against a fleet that starts together and blocks itself with split votes. */
    @Test
    public void allResourcesAreHeldSoonAfterTheStartOfTheFleet() {
        for (int n : new int[] {1, 2, 3, 9}) {
            VirtualCluster c = started(n, n, 8, 3);
            assertEquals(c.unheld(), 0, "unheld with " + n + " instances");
            assertEquals(c.violations.toString(), "[]");
        }
    }
}
