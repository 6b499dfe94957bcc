package org.bronzehill.replay.generate;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/** Heavy-tailed popularity of adapters: the weight of the k-th adapter is 1 / k^exponent. */
public final class Popularity {

    private final double[] cumulative;
    private final int[] adapterOfRank;

    private Popularity(double[] cumulative, int[] adapterOfRank) {
        this.cumulative = cumulative;
        this.adapterOfRank = adapterOfRank;
    }

    /** Creates a popularity in a random order of the adapters. */
    public static Popularity create(int adapters, double exponent, RandomGenerator random) {
        double[] cumulative = new double[adapters];
        double sum = 0;
        for (int k = 0; k < adapters; k++) {
            sum += Math.pow(k + 1, -exponent);
            cumulative[k] = sum;
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
        return new Popularity(cumulative, order);
    }

    /** Returns the number of an adapter, drawn by popularity. */
    public int draw(RandomGenerator random) {
        double x = random.nextDouble() * cumulative[cumulative.length - 1];
        int at = Arrays.binarySearch(cumulative, x);
        int rank = at >= 0 ? at : -at - 1;
        return adapterOfRank[Math.min(rank, adapterOfRank.length - 1)];
    }
}
