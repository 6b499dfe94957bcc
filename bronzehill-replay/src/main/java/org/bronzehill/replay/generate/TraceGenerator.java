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

/** Generates traces from a seed: traffic of a deployment with the faults of some scenarios. */
public final class TraceGenerator {

    private static final int MAX_RESEND_DELAY_MS = 1500;
    private static final double RESEND_SHARE = 0.3;
    private static final double DISCONNECT_SHARE = 0.02;
    private static final double NOT_ENTITLED_SHARE = 0.01;
    private static final int MIN_TOKENS = 8;
    private static final int TOKEN_RANGE = 56;

    /**
     * Traffic to generate.
     *
     * @param requestsPerSecond mean rate of requests, whose arrivals form a Poisson process
     * @param popularityExponent Zipf exponent of the adapter popularity
     * @param seconds duration of the traffic
     * @param settleSeconds time after the traffic in which open requests can finish
     */
    public record Workload(
            double requestsPerSecond, double popularityExponent, int seconds, int settleSeconds) {}

    private final Deployment deployment;
    private final Workload workload;
    private final RandomGenerator random;
    private final List<TraceRecord> records = new ArrayList<>();
    private int nextRequestNumber;

    private TraceGenerator(Deployment deployment, Workload workload, RandomGenerator random) {
        this.deployment = deployment;
        this.workload = workload;
        this.random = random;
    }

    /**
     * Generates traffic with the faults of the scenarios; a scenario listed twice adds them twice.
     */
    public static Trace generate(
            Deployment deployment, Workload workload, List<Scenario> scenarios, long seed) {
        TraceGenerator g = new TraceGenerator(deployment, workload, new SplittableRandom(seed));
        boolean shift = scenarios.contains(Scenario.POPULARITY_SHIFT);
        g.addTraffic(shift);
        FaultGenerator faults =
                new FaultGenerator(
                        deployment, g.random, g.trafficStartMs(), g.trafficEndMs(), g.records);
        scenarios.forEach(faults::add);
        String title = scenarios.stream().map(Scenario::label).collect(Collectors.joining("+"));
        long endMs = g.trafficEndMs() + workload.settleSeconds() * 1000L;
        TraceHeader header = TraceHeader.of(deployment.name(), seed, endMs, title);
        return new Trace(header, numberConfigurations(new Trace(header, g.records).records()));
    }

    /** Numbers the published configurations in order of time. */
    private static List<TraceRecord> numberConfigurations(List<TraceRecord> sorted) {
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

    private long trafficStartMs() {
        return Replay.WARM_UP_MS;
    }

    private long trafficEndMs() {
        return Replay.WARM_UP_MS + workload.seconds() * 1000L;
    }

    private void addTraffic(boolean shift) {
        int adapters = deployment.shape().adapters();
        Popularity initialPopularity =
                Popularity.create(adapters, workload.popularityExponent(), random);
        Popularity shiftedPopularity =
                Popularity.create(adapters, workload.popularityExponent(), random);
        double at = trafficStartMs();
        long middleMs = (trafficStartMs() + trafficEndMs()) / 2;
        while (true) {
            at += -Math.log(1 - random.nextDouble()) * 1000 / workload.requestsPerSecond();
            if (at >= trafficEndMs()) {
                return;
            }
            Popularity p = shift && at >= middleMs ? shiftedPopularity : initialPopularity;
            addRequest((long) at, drawKind(), p.draw(random));
        }
    }

    private String drawKind() {
        double remaining = random.nextDouble();
        String last = "";
        for (Map.Entry<String, Double> e : deployment.traffic().entrySet()) {
            last = e.getKey();
            remaining -= e.getValue();
            if (remaining < 0) {
                break;
            }
        }
        return last;
    }

    private void addRequest(long at, String kind, int adapter) {
        String id = "q" + nextRequestNumber++;
        String entry = randomElement(deployment.entries());
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
            if (random.nextDouble() < DISCONNECT_SHARE) {
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
                            at + random.nextInt(MAX_RESEND_DELAY_MS),
                            id + "~2",
                            randomElement(deployment.entries()),
                            caller,
                            kind,
                            Deployment.OPERATION,
                            key,
                            0));
        }
    }

    private String randomElement(List<String> names) {
        return names.get(random.nextInt(names.size()));
    }
}
