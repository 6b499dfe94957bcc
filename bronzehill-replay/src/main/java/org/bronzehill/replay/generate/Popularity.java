package org.bronzehill.replay.generate;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/** Zipf distribution of adapter popularity: the weight of rank k is 1 / k^exponent. */
public final class Popularity {

    private final double[] cumulativeWeights;
    private final int[] adapterOfRank;

    private Popularity(double[] cumulativeWeights, int[] adapterOfRank) {
        this.cumulativeWeights = cumulativeWeights;
        this.adapterOfRank = adapterOfRank;
    }

    /** Creates a distribution that assigns ranks to adapters at random. */
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

    /** Returns the index of a randomly drawn adapter. */
    public int draw(RandomGenerator random) {
        double target = random.nextDouble() * cumulativeWeights[cumulativeWeights.length - 1];
        int index = Arrays.binarySearch(cumulativeWeights, target);
        int rank = index >= 0 ? index : -index - 1;
        return adapterOfRank[Math.min(rank, adapterOfRank.length - 1)];
    }
}
