package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.function.IntSupplier;
import org.testng.annotations.Test;

/** Replays loads above the capacity of the engines on virtual time. */
public class OverloadTest {

    private static final Duration LOAD_TIME = Duration.ofMillis(250);

    /**
     * Least part of the goodput at the capacity that must remain when the load is a multiple of it.
     */
    private static final double MIN_GOODPUT = 0.8;

    /** Engines whose reading of prompts is the scarce resource. */
    public static class Reading {

        private static final int ENGINES = 4;
        private static final double TOKENS_PER_MS = 5;

        /** Streams that the engines can read in a second: each has a prompt of 500 tokens. */
        private static final double CAPACITY_PER_SECOND = ENGINES * TOKENS_PER_MS * 1000 / 500;

        private static LoadPlayer.Counts play(double multiple, Duration time) {
            ForwardRig rig = new ForwardRig(ENGINES, 6, LOAD_TIME, 8);
            LoadPlayer player = new LoadPlayer(rig, TOKENS_PER_MS, Duration.ofMillis(100));
            return player.play(CAPACITY_PER_SECOND * multiple, time, () -> 0);
        }

        /**
         * Guards against engines that get more prompts than they can read in time, so that all
         * streams are late.
         */
        @Test
        public void goodputStaysFlatWhenTheLoadGrows() {
            LoadPlayer.Counts atCapacity = play(1, Duration.ofSeconds(20));
            for (int multiple = 2; multiple <= 4; multiple++) {
                LoadPlayer.Counts counts = play(multiple, Duration.ofSeconds(20));
                assertTrue(
                        counts.inTime >= MIN_GOODPUT * atCapacity.inTime,
                        "at "
                                + multiple
                                + " times the capacity: "
                                + counts
                                + "; at the capacity: "
                                + atCapacity);
            }
        }

        /** Guards against refusals while the engines have capacity. */
        @Test
        public void halfTheCapacityIsServedInTime() {
            LoadPlayer.Counts counts = play(0.5, Duration.ofSeconds(20));
            assertEquals(counts.refused, 0, counts.toString());
            assertTrue(counts.inTime >= 0.99 * counts.offered, counts.toString());
        }
    }

    /** Engines whose adapter slots are the scarce resource. */
    public static class AdapterSlots {

        private static final int ENGINES = 4;

        private static LoadPlayer.Counts play(double perSecond) {
            ForwardRig rig = new ForwardRig(ENGINES, 3, LOAD_TIME, 8);
            LoadPlayer player = new LoadPlayer(rig, 25, Duration.ofMillis(500));
            IntSupplier adapters = player.skewedAdapters(500);
            return player.play(perSecond, Duration.ofSeconds(20), adapters);
        }

        /**
         * Many rare adapters are requested at once. Guards against loads that all end too late for
         * the requests that wait for them.
         */
        @Test
        public void goodputStaysFlatWhenRareAdaptersAreRequested() {
            LoadPlayer.Counts atCapacity = play(12);
            for (int multiple = 2; multiple <= 4; multiple++) {
                LoadPlayer.Counts counts = play(12 * multiple);
                assertTrue(
                        counts.inTime >= MIN_GOODPUT * atCapacity.inTime,
                        "at "
                                + multiple
                                + " times the load: "
                                + counts
                                + "; at the load: "
                                + atCapacity);
            }
        }
    }

    /** Sudden changes of the demand and of the engines. */
    public static class Changes {

        private static final Duration STEADY = Duration.ofSeconds(10);

        /**
         * Twice the time in which the weight store delivers an adapter for each slot: 24 slots, 8
         * loads at a time of 250 ms each.
         */
        private static final Duration RECOVERY = Duration.ofMillis(1500);

        /**
         * All requests move to other adapters at once. Guards against slots that stay with adapters
         * that nobody requests any more.
         */
        @Test
        public void movedDemandIsServedAgainSoon() {
            ForwardRig rig = new ForwardRig(4, 6, LOAD_TIME, 8);
            LoadPlayer player = new LoadPlayer(rig, 25, Duration.ofMillis(300));
            IntSupplier adapters = player.skewedAdapters(200);
            player.begin(25, STEADY, adapters);
            LoadPlayer.Counts before = player.begin(25, STEADY, adapters);
            IntSupplier moved = () -> adapters.getAsInt() + 200;
            player.begin(25, RECOVERY, moved);
            LoadPlayer.Counts after = player.play(25, STEADY, moved);
            assertTrue(
                    after.inTime * before.offered >= 0.9 * before.inTime * after.offered,
                    "before: " + before + "; after: " + after);
        }

        /**
         * Half of the engines are lost while the load is at the capacity of all. Guards against
         * requests that wait for lost engines, and against late streams at the others.
         */
        @Test
        public void remainingEnginesStayProductive() {
            ForwardRig rig = new ForwardRig(4, 6, LOAD_TIME, 8);
            LoadPlayer player = new LoadPlayer(rig, 5, Duration.ofMillis(100));
            player.begin(40, STEADY, () -> 0);
            player.crash("e1");
            player.crash("e2");
            player.begin(40, RECOVERY, () -> 0);
            LoadPlayer.Counts after = player.play(40, STEADY, () -> 0);
            double capacity = 20 * STEADY.toSeconds();
            assertTrue(after.inTime >= MIN_GOODPUT * capacity, after.toString());
        }

        /**
         * Callers send each refused request again at once, several times. Guards against retries
         * that displace requests which can still be served in time.
         */
        @Test
        public void impatientRetriesDoNotReduceTheGoodput() {
            ForwardRig rig = new ForwardRig(4, 6, LOAD_TIME, 8);
            LoadPlayer player = new LoadPlayer(rig, 5, Duration.ofMillis(100));
            player.retryRefused(3);
            LoadPlayer.Counts counts = player.play(80, Duration.ofSeconds(20), () -> 0);
            double capacity = 40 * 20;
            assertTrue(counts.inTime >= MIN_GOODPUT * capacity, counts.toString());
        }
    }
}
