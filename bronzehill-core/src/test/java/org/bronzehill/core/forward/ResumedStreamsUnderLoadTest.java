package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Replays on virtual time that callers resume streams which were broken off, while new streams
 * arrive at twice the rate that the engines can serve. The callers have one try left.
 */
public class ResumedStreamsUnderLoadTest {

    private static final int ENGINES = 4;

    /** Requests that an engine of the rig runs at a time. */
    private static final int PLACES = 8;

    private static final double TOKENS_PER_MS = 25;

    /** Time from the first event of a stream to its last. */
    private static final Duration OUTPUT_TIME = Duration.ofSeconds(1);

    /** Streams that the engines have places for in a second. */
    private static final double CAPACITY_PER_SECOND = ENGINES * PLACES / 1.02;

    private static final double OVERLOAD_PER_SECOND = 2 * CAPACITY_PER_SECOND;

    private static final Duration CALM = Duration.ofSeconds(20);

    private static final Duration OVERLOAD = Duration.ofSeconds(6);

    /**
     * Least share of the resumed streams that go on, as part of the share of the new streams that
     * begin.
     */
    private static final double MIN_CONTINUED = 0.5;

    /** Least part of the goodput without resumed streams that must remain. */
    private static final double MIN_GOODPUT = 0.8;

    private ForwardRig rig;
    private LoadPlayer player;

    @BeforeMethod
    public void setUp() {
        rig = new ForwardRig(ENGINES, 6, Duration.ofMillis(250), PLACES);
        player = new LoadPlayer(rig, TOKENS_PER_MS, OUTPUT_TIME);
    }

    private LoadPlayer.Counts playCalm() {
        return player.begin(CAPACITY_PER_SECOND, CALM, () -> 0);
    }

    private LoadPlayer.Counts resume(int streams) {
        return player.playResumed(OVERLOAD_PER_SECOND, OVERLOAD, streams, "v1", 1);
    }

    /** Moves some of the engines to another software version. */
    private void upgradeAllBut(int engines) {
        for (int i = engines + 1; i <= ENGINES; i++) {
            rig.forwarder().onUpstream(ForwardRig.engine("e" + i, 200, "v2", false));
        }
    }

    /**
     * Requires that the resumed streams go on as often as the new ones of the same time begin, and
     * half as often as all new ones.
     */
    private static void assertGoOn(LoadPlayer.Counts calm, LoadPlayer.Counts overload) {
        String text = "overload: " + overload + "; before: " + calm;
        assertTrue(overload.continuedShare() >= overload.begunShare(), text);
        double begun = (double) (calm.begun() + overload.begun());
        double share = begun / (calm.offered + overload.offered);
        assertTrue(overload.continuedShare() >= MIN_CONTINUED * share, text);
    }

    /**
     * All instances were killed and have just started, so none knows yet how fast the engines
     * serve. Guards against resumed streams that are refused at once.
     */
    @Test
    public void streamsGoOnAfterAStart() {
        LoadPlayer.Counts calm = playCalm();
        setUp();
        assertGoOn(calm, resume(30));
    }

    /** Guards against resumed streams that get their places after new ones. */
    @Test
    public void streamsGoOnDuringAnOverload() {
        LoadPlayer.Counts calm = playCalm();
        player.begin(OVERLOAD_PER_SECOND, OVERLOAD, () -> 0);
        assertGoOn(calm, resume(30));
    }

    /**
     * Guards against new streams that take the places of resumed ones at the only engines which may
     * go on with these.
     */
    @Test
    public void streamsOfAVersionWithFewEnginesGoOn() {
        LoadPlayer.Counts calm = playCalm();
        upgradeAllBut(2);
        player.begin(OVERLOAD_PER_SECOND, OVERLOAD, () -> 0);
        assertGoOn(calm, resume(15));
    }

    /**
     * Far more streams are resumed than one engine can go on with. Guards against requests beyond
     * its places, and against prompts that it reads in vain because the callers give up before.
     */
    @Test
    public void engineIsNotOverrunByResumedStreams() {
        upgradeAllBut(1);
        player.begin(OVERLOAD_PER_SECOND, OVERLOAD, () -> 0);
        LoadPlayer.Counts counts = resume(200);
        assertTrue(counts.mostAtAnEngine <= PLACES, counts.toString());
        assertEquals(counts.abandonedAtEngine, 0, counts.toString());
    }

    /** Guards against a loss of new streams that exceeds the gain of the resumed ones. */
    @Test
    public void resumedStreamsDoNotReduceTheGoodput() {
        LoadPlayer.Counts without = resume(0);
        setUp();
        LoadPlayer.Counts with = resume(30);
        assertTrue(
                with.inTime + with.continued >= MIN_GOODPUT * without.inTime,
                with + "; without resumed streams: " + without);
    }
}
