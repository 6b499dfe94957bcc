package org.bronzehill.core.forward;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;

/** Tests the retry budget of a service, split over the instances. */
public class RetryAllowancesTest {

    private static final int INSTANCES = 9;
    private static final double RATIO = 0.2;
    private static final double SLACK = 58;

    /** Guards against a sum over all instances that exceeds the bound in some window. */
    @Test
    public void sumStaysUnderTheBound() {
        int requests = 0;
        int retries = 0;
        for (int i = 0; i < INSTANCES; i++) {
            VirtualScheduler scheduler = new VirtualScheduler();
            ForwardSettings settings = TestSettings.of("i" + i, RATIO, SLACK);
            RetryAllowances shares = new RetryAllowances(settings, scheduler.time());
            shares.onTick(INSTANCES);
            for (int tenth = 0; tenth < 100; tenth++) {
                shares.onRequest("s");
                requests++;
                while (shares.tryTake("s")) {
                    retries++;
                }
                scheduler.advance(Duration.ofMillis(100));
                shares.onTick(INSTANCES);
            }
        }
        assertTrue(retries <= RATIO * requests + SLACK, retries + " of " + requests);
        // A budget that is never used would pass the check above.
        assertTrue(retries >= 0.5 * (RATIO * requests + SLACK), retries + " of " + requests);
    }
}
