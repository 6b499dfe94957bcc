package org.bronzehill.core.forward;

import static org.testng.Assert.assertTrue;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests an upstream that fails if it has to reject too many requests in a second. */
public class RejectionLimitTest {

    private static final int LIMIT = 10;
    private static final Duration RUN_TIME = Duration.ofMillis(20);
    private static final Duration NETWORK_DELAY = Duration.ofMillis(1);

    /** The only plain upstream of a fleet, which runs two requests and lets none wait. */
    private static final class Brittle {

        private final FleetRig rig;
        private final Deque<Long> rejectedAt = new ArrayDeque<>();
        private final long statesLimitFrom;
        private int running;
        private int served;
        private int mostRejected;

        Brittle(FleetRig rig) {
            this.rig = rig;
            this.statesLimitFrom = rig.scheduler().time().nanoTime();
        }

        void open(FleetRig.Node node) {
            FakeTransport t = new FakeTransport();
            t.onSend(() -> rig.scheduler().after(NETWORK_DELAY, () -> onArrived(t)));
            node.call(t);
        }

        private void onArrived(FakeTransport t) {
            if (running < 2) {
                running++;
                rig.scheduler().after(RUN_TIME, () -> complete(t));
                return;
            }
            reject(t);
        }

        private void complete(FakeTransport t) {
            running--;
            served++;
            state(t);
            t.call().onProgress();
            t.call().onComplete(200);
        }

        private void reject(FakeTransport t) {
            long now = rig.scheduler().time().nanoTime();
            // The upstreams fail from a few seconds after the first statement on only.
            if (now - statesLimitFrom > Duration.ofSeconds(3).toNanos()) {
                rejectedAt.add(now);
                while (now - rejectedAt.peek() > Duration.ofSeconds(1).toNanos()) {
                    rejectedAt.poll();
                }
                mostRejected = Math.max(mostRejected, rejectedAt.size());
            }
            state(t);
            t.call().onNotRun("status-503", NotRunCause.REFUSED);
        }

        private static void state(FakeTransport t) {
            t.call().onNotice(new UpstreamNotice(false, Option.none(), Option.of(LIMIT)));
        }
    }

    @DataProvider
    public static Object[][] fleets() {
        Object[][] cases = new Object[20][];
        for (int i = 0; i < cases.length; i++) {
            cases[i] = new Object[] {i % 2 == 0 ? 8 : 80, (long) i};
        }
        return cases;
    }

    /** Guards against a fleet whose rejected requests make an upstream fail. */
    @Test(dataProvider = "fleets")
    public void allInstancesTogetherKeepTheLimit(int instances, long seed) {
        FleetRig rig = new FleetRig(instances, 2, 1);
        rig.run(Duration.ofSeconds(4));
        Brittle upstream = new Brittle(rig);
        Random random = new Random(seed);
        // Twice what the upstream can run.
        for (int i = 0; i < 2000; i++) {
            upstream.open(rig.node(random.nextInt(instances)));
            rig.runPartitioned(Duration.ofMillis(5));
        }
        assertTrue(upstream.mostRejected <= LIMIT, upstream.mostRejected + " rejected in 1 s");
        assertTrue(upstream.served > 100, upstream.served + " served");
    }
}
