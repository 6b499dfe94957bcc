package org.bronzehill.standin.driver.internal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.bronzehill.standin.Profile;

/** Generates a seeded load with heavy-tailed adapter popularity, which can shift once. */
public final class Workload {

    /**
     * Exponent of the Zipf distribution of adapters. With 1.6, the 256 slots of 8 engines hold the
     * adapters of 98% of the requests, so that a steady load stays within the rate of the weight
     * store.
     */
    private static final double ZIPF_EXPONENT = 1.6;

    private static final double UNENTITLED_SHARE = 0.02;

    private final Profile profile;
    private final List<TrafficClass> trafficClasses;
    private final double perSecond;
    private final long shiftAtMs;
    private final Random random;
    private final String hexSeed;
    private final double[] cumulative = new double[Profile.ADAPTERS];
    private List<Integer> ranking;
    private boolean shifted;
    private double atMs;
    private int index;

    private Workload(
            Profile profile,
            List<TrafficClass> trafficClasses,
            double perSecond,
            long shiftAtMs,
            long seed) {
        this.profile = profile;
        this.trafficClasses = trafficClasses;
        this.perSecond = perSecond;
        this.shiftAtMs = shiftAtMs;
        this.random = new Random(seed);
        this.hexSeed = Long.toHexString(seed);
        double sum = 0;
        for (int i = 0; i < cumulative.length; i++) {
            sum += Math.pow(i + 1, -ZIPF_EXPONENT);
            cumulative[i] = sum;
        }
        this.ranking = shuffled();
    }

    /**
     * Creates a load of all kinds of a deployment.
     *
     * @param shiftAtMs time at which the popularity of adapters changes; negative for never
     */
    public static Workload of(Profile profile, double perSecond, long shiftAtMs, long seed) {
        return new Workload(
                profile, Declarations.trafficClasses(profile), perSecond, shiftAtMs, seed);
    }

    /** Creates a load of once-only acts. */
    public static Workload acts(Profile profile, double perSecond, long seed) {
        List<TrafficClass> acts =
                Declarations.trafficClasses(profile).stream()
                        .filter(t -> t.kind().onceOnly())
                        .collect(Collectors.toList());
        return new Workload(profile, acts, perSecond, -1, seed);
    }

    /** Returns the next call of a Poisson process. */
    public Call next() {
        atMs -= Math.log(1 - random.nextDouble()) * 1000 / perSecond;
        if (shiftAtMs >= 0 && !shifted && atMs >= shiftAtMs) {
            ranking = shuffled();
            shifted = true;
        }
        TrafficClass trafficClass = pickTrafficClass();
        boolean model = trafficClass.kind().isModelRequest();
        boolean unentitled = model && random.nextDouble() < UNENTITLED_SHARE;
        List<String> teams = Declarations.teams(profile);
        String team =
                unentitled ? Declarations.UNENTITLED_TEAM : teams.get(random.nextInt(teams.size()));
        int n = index++;
        return new Call(
                n,
                (long) atMs,
                trafficClass,
                model ? Declarations.adapterName(pickAdapter()) : "",
                team,
                Declarations.token(team, random.nextInt(Declarations.callersPerTeam())),
                "request " + hexSeed + '-' + n,
                Math.max(1, (int) (trafficClass.tokens() * (0.5 + random.nextDouble()))),
                model && random.nextBoolean(),
                trafficClass.kind().onceOnly() ? "act-" + hexSeed + '-' + n : "",
                !unentitled);
    }

    private TrafficClass pickTrafficClass() {
        double total = trafficClasses.stream().mapToDouble(TrafficClass::share).sum();
        double u = random.nextDouble() * total;
        for (TrafficClass t : trafficClasses) {
            u -= t.share();
            if (u < 0) {
                return t;
            }
        }
        return trafficClasses.get(trafficClasses.size() - 1);
    }

    private int pickAdapter() {
        double u = random.nextDouble() * cumulative[cumulative.length - 1];
        int low = 0;
        int high = cumulative.length - 1;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (cumulative[middle] < u) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return ranking.get(low);
    }

    private List<Integer> shuffled() {
        List<Integer> order =
                IntStream.range(0, Profile.ADAPTERS)
                        .boxed()
                        .collect(Collectors.toCollection(ArrayList::new));
        Collections.shuffle(order, random);
        return order;
    }
}
