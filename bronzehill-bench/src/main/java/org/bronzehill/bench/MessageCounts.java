package org.bronzehill.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Counts messages of the membership protocol at several sizes. */
public final class MessageCounts {

    private static final int[] SIZES = {9, 95, 380};
    private static final int ROUNDS = 40;
    private static final int SETTLING = 40;

    private MessageCounts() {}

    /** Returns the messages that one node sends in a probe period of 500 ms. */
    public static double messagesPerNode(int nodes) {
        return measure(nodes)[0];
    }

    /** Returns messages and bytes that one node sends in a probe period of 500 ms. */
    public static double[] measure(int nodes) {
        MembershipFleet fleet = new MembershipFleet(nodes);
        for (int i = 0; i < SETTLING; i++) {
            fleet.round();
        }
        long messages = fleet.messages();
        long bytes = fleet.bytes();
        for (int i = 0; i < ROUNDS; i++) {
            fleet.round();
        }
        double perNode = (double) nodes * ROUNDS;
        return new double[] {
            (fleet.messages() - messages) / perNode, (fleet.bytes() - bytes) / perNode
        };
    }

    static List<String> lines() {
        List<String> lines = new ArrayList<>();
        for (int nodes : SIZES) {
            double[] m = measure(nodes);
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "membership, %d nodes: %.2f messages and %.0f bytes per node and"
                                    + " period of 500 ms",
                            nodes,
                            m[0],
                            m[1]));
        }
        return lines;
    }
}
