package org.bronzehill.standin.driver.internal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.bronzehill.standin.Profile;

/** Seeded load of a deployment with heavy-tailed adapter popularity that can shift. */
public final class Workload {

    /**
     * Exponent of the Zipf distribution. With 1.6 the 256 slots of 8 engines hold the adapters of
     * 98% of the requests, so that steady load fits the weight store's rate.
     */
    private static final double EXPONENT = 1.6;

    private static final double OUTSIDERS = 0.02;

    private final Profile profile;
    private final List<Traffic> traffic;
    private final double perSecond;
    private final long shiftAtMs;
    private final Random random;
    private final String run;
    private final double[] cumulative = new double[Profile.ADAPTERS];
    private List<Integer> ranking;
    private boolean shifted;
    private double atMs;
    private int index;

    private Workload(
            Profile profile, List<Traffic> traffic, double perSecond, long shiftAtMs, long seed) {
        this.profile = profile;
        this.traffic = traffic;
        this.perSecond = perSecond;
        this.shiftAtMs = shiftAtMs;
        this.random = new Random(seed);
        this.run = Long.toHexString(seed);
        double sum = 0;
        for (int i = 0; i < cumulative.length; i++) {
            sum += Math.pow(i + 1, -EXPONENT);
            cumulative[i] = sum;
        }
        this.ranking = shuffled();
    }

    /**
     * Creates a load.
     *
     * @param shiftAtMs time at which other adapters become popular; negative for never
     */
    public static Workload of(Profile profile, double perSecond, long shiftAtMs, long seed) {
        return new Workload(profile, Declarations.traffic(profile), perSecond, shiftAtMs, seed);
    }

    /** Creates a load of the kinds that are once-only acts. */
    public static Workload acts(Profile profile, double perSecond, long seed) {
        List<Traffic> acts =
                Declarations.traffic(profile).stream()
                        .filter(t -> t.kind().onceOnly())
                        .collect(Collectors.toList());
        return new Workload(profile, acts, perSecond, -1, seed);
    }

    /** Returns the next call; calls arrive as a Poisson process. */
    public Call next() {
        atMs -= Math.log(1 - random.nextDouble()) * 1000 / perSecond;
        if (shiftAtMs >= 0 && !shifted && atMs >= shiftAtMs) {
            ranking = shuffled();
            shifted = true;
        }
        Traffic kind = pickKind();
        boolean model = kind.kind().isModelRequest();
        boolean outsider = model && random.nextDouble() < OUTSIDERS;
        List<String> members = Declarations.members(profile);
        String member =
                outsider ? Declarations.OUTSIDER : members.get(random.nextInt(members.size()));
        int n = index++;
        return new Call(
                n,
                (long) atMs,
                kind,
                model ? Declarations.adapterName(pickAdapter()) : "",
                member,
                Declarations.token(member, random.nextInt(Declarations.callers())),
                "request " + run + '-' + n,
                Math.max(1, (int) (kind.tokens() * (0.5 + random.nextDouble()))),
                model && random.nextBoolean(),
                kind.kind().onceOnly() ? "act-" + run + '-' + n : "",
                !outsider);
    }

    private Traffic pickKind() {
        double total = traffic.stream().mapToDouble(Traffic::share).sum();
        double u = random.nextDouble() * total;
        for (Traffic t : traffic) {
            u -= t.share();
            if (u < 0) {
                return t;
            }
        }
        return traffic.get(traffic.size() - 1);
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
