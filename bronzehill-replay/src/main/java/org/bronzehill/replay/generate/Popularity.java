package org.bronzehill.replay.generate;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/** Heavy-tailed popularity of adapters: the weight of the k-th adapter is 1 / k^exponent. */
public final class Popularity {

    private final double[] cumulativeWeights;
    private final int[] adapterOfRank;

    private Popularity(double[] cumulativeWeights, int[] adapterOfRank) {
        this.cumulativeWeights = cumulativeWeights;
        this.adapterOfRank = adapterOfRank;
    }

    /** Creates a popularity in a random order of the adapters. */
    public static Popularity create(int adapters, double exponent, RandomGenerator random) {
        double[] cumulativeWeights = new double[adapters];
        double sum = 0;
        for (int k = 0; k < adapters; k++) {
            sum += Math.pow(k + 1, -exponent);
            cumulativeWeights[k] = sum;
        }
        int[] order = new int[adapters];
        for (int i = 0; i < adapters; i++) {
            order[i] = i;
        }
        for (int i = adapters - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            int swap = order[i];
            order[i] = order[j];
            order[j] = swap;
        }
        return new Popularity(cumulativeWeights, order);
    }

    /** Returns the number of an adapter, drawn by popularity. */
    public int draw(RandomGenerator random) {
        double target = random.nextDouble() * cumulativeWeights[cumulativeWeights.length - 1];
        int index = Arrays.binarySearch(cumulativeWeights, target);
        int rank = index >= 0 ? index : -index - 1;
        return adapterOfRank[Math.min(rank, adapterOfRank.length - 1)];
    }
}
