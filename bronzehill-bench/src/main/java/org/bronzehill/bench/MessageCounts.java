package org.bronzehill.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Counts the messages of the membership protocol for several fleet sizes. */
public final class MessageCounts {

    private static final int[] FLEET_SIZES = {9, 95, 380};
    private static final int MEASURED_ROUNDS = 40;
    private static final int WARM_UP_ROUNDS = 40;

    private MessageCounts() {}

    /** Returns the number of messages that an instance sends per probe period of 500 ms. */
    public static double messagesPerInstance(int instances) {
        return measure(instances)[0];
    }

    /**
     * Returns the numbers of messages and bytes that an instance sends per probe period of 500 ms.
     */
    public static double[] measure(int instances) {
        MembershipFleet fleet = new MembershipFleet(instances);
        for (int i = 0; i < WARM_UP_ROUNDS; i++) {
            fleet.round();
        }
        long messages = fleet.messages();
        long bytes = fleet.bytes();
        for (int i = 0; i < MEASURED_ROUNDS; i++) {
            fleet.round();
        }
        double instanceRounds = (double) instances * MEASURED_ROUNDS;
        return new double[] {
            (fleet.messages() - messages) / instanceRounds, (fleet.bytes() - bytes) / instanceRounds
        };
    }

    static List<String> lines() {
        List<String> lines = new ArrayList<>();
        for (int instances : FLEET_SIZES) {
            double[] m = measure(instances);
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "membership, %d instances: %.2f messages and %.0f bytes per instance"
                                    + " and period of 500 ms",
                            instances,
                            m[0],
                            m[1]));
        }
        return lines;
    }
}
