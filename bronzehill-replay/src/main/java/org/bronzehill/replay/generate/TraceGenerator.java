package org.bronzehill.replay.generate;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.bronzehill.replay.harness.Replay;
import org.bronzehill.replay.trace.Trace;
import org.bronzehill.replay.trace.TraceHeader;
import org.bronzehill.replay.trace.TraceRecord;

/** Writes traces from a seed: traffic of a deployment with the faults of some scenarios. */
public final class TraceGenerator {

    private static final int RESEND_AFTER_MS = 1500;
    private static final double RESEND_SHARE = 0.3;
    private static final double GONE_SHARE = 0.02;
    private static final double NOT_ENTITLED_SHARE = 0.01;
    private static final int MIN_TOKENS = 8;
    private static final int TOKEN_RANGE = 56;

    /**
     * How much traffic to generate.
     *
     * @param perSecond requests per second
     * @param popularityExponent exponent of the heavy tail
     * @param seconds duration of the traffic
     * @param settleSeconds time after the traffic in which requests may end
     */
    public record Workload(
            double perSecond, double popularityExponent, int seconds, int settleSeconds) {}

    private final Deployment deployment;
    private final Workload load;
    private final RandomGenerator random;
    private final List<TraceRecord> records = new ArrayList<>();
    private int sequence;

    private TraceGenerator(Deployment deployment, Workload load, RandomGenerator random) {
        this.deployment = deployment;
        this.load = load;
        this.random = random;
    }

    /** Generates traffic with the faults of the given scenarios, each of them once per mention. */
    public static Trace generate(
            Deployment deployment, Workload load, List<Scenario> scenarios, long seed) {
        TraceGenerator g = new TraceGenerator(deployment, load, new SplittableRandom(seed));
        boolean shift = scenarios.contains(Scenario.POPULARITY_SHIFT);
        g.traffic(shift);
        FaultGenerator faults =
                new FaultGenerator(deployment, g.random, g.start(), g.end(), g.records);
        scenarios.forEach(faults::add);
        String title = scenarios.stream().map(Scenario::label).collect(Collectors.joining("+"));
        long end = g.end() + load.settleSeconds() * 1000L;
        TraceHeader header = TraceHeader.of(deployment.name(), seed, end, title);
        return new Trace(header, numbered(new Trace(header, g.records).records()));
    }

    /** Numbers the configurations in the order in which they are published. */
    private static List<TraceRecord> numbered(List<TraceRecord> sorted) {
        List<TraceRecord> all = new ArrayList<>();
        long number = 1;
        for (TraceRecord r : sorted) {
            if (r instanceof TraceRecord.Publish p) {
                number++;
                all.add(new TraceRecord.Publish(p.at(), number, p.pins()));
            } else {
                all.add(r);
            }
        }
        return all;
    }

    private long start() {
        return Replay.WARM_UP_MS;
    }

    private long end() {
        return Replay.WARM_UP_MS + load.seconds() * 1000L;
    }

    private void traffic(boolean shift) {
        int adapters = deployment.shape().adapters();
        Popularity first = Popularity.create(adapters, load.popularityExponent(), random);
        Popularity second = Popularity.create(adapters, load.popularityExponent(), random);
        double at = start();
        long middle = (start() + end()) / 2;
        while (true) {
            at += -Math.log(1 - random.nextDouble()) * 1000 / load.perSecond();
            if (at >= end()) {
                return;
            }
            Popularity p = shift && at >= middle ? second : first;
            request((long) at, kind(), p.draw(random));
        }
    }

    private String kind() {
        double x = random.nextDouble();
        String last = "";
        for (Map.Entry<String, Double> e : deployment.traffic().entrySet()) {
            last = e.getKey();
            x -= e.getValue();
            if (x < 0) {
                break;
            }
        }
        return last;
    }

    private void request(long at, String kind, int adapter) {
        String id = "q" + sequence++;
        String entry = any(deployment.entries());
        boolean entitled = random.nextDouble() >= NOT_ENTITLED_SHARE;
        String caller = Deployment.callerFor(entitled ? adapter : adapter + 1);
        boolean model =
                deployment.kinds().stream()
                        .anyMatch(k -> k.name().equals(kind) && k.isModelRequest());
        boolean onceOnly =
                deployment.kinds().stream().anyMatch(k -> k.name().equals(kind) && k.onceOnly());
        if (model) {
            int tokens = MIN_TOKENS + random.nextInt(TOKEN_RANGE);
            records.add(
                    new TraceRecord.Model(
                            at,
                            id,
                            entry,
                            caller,
                            kind,
                            Deployment.adapterName(adapter),
                            0,
                            tokens,
                            false));
            if (random.nextDouble() < GONE_SHARE) {
                records.add(new TraceRecord.CallerGone(at + random.nextInt(2000), id));
            }
            return;
        }
        String key = onceOnly ? "key-" + id : "";
        records.add(
                new TraceRecord.Service(at, id, entry, caller, kind, Deployment.OPERATION, key, 0));
        if (onceOnly && random.nextDouble() < RESEND_SHARE) {
            records.add(
                    new TraceRecord.Service(
                            at + random.nextInt(RESEND_AFTER_MS),
                            id + "~2",
                            any(deployment.entries()),
                            caller,
                            kind,
                            Deployment.OPERATION,
                            key,
                            0));
        }
    }

    private String any(List<String> names) {
        return names.get(random.nextInt(names.size()));
    }
}
