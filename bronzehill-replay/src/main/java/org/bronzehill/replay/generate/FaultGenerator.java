package org.bronzehill.replay.generate;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.bronzehill.replay.trace.TraceRecord;

/** Adds the faults of scenarios to a trace, at random times within its traffic. */
final class FaultGenerator {

    private static final double FAILING_SHARE = 0.8;
    private static final double SLOW_SHARE = 0.03;
    private static final int CRASHING_RESENDS = 4;
    private static final int MODEL_TOKENS = 16;

    private final Deployment deployment;
    private final RandomGenerator random;
    private final long start;
    private final long end;
    private final List<TraceRecord> records;
    private int crashing;

    FaultGenerator(
            Deployment deployment,
            RandomGenerator random,
            long start,
            long end,
            List<TraceRecord> records) {
        this.deployment = deployment;
        this.random = random;
        this.start = start;
        this.end = end;
        this.records = records;
    }

    void add(Scenario scenario) {
        long at = start + random.nextLong(Math.max(1, (end - start) * 2 / 3));
        switch (scenario) {
            case STEADY -> publish(at);
            case POPULARITY_SHIFT -> {}
            case ENGINE_RESTART -> restarts(at);
            case FAILING_LOADS ->
                    records.add(
                            new TraceRecord.LoadFailures(at, FAILING_SHARE, between(2000, 8000)));
            case CONFIGURATION_DOWN -> configurationDown(at);
            case PARTITION -> partition(at);
            case LATE_WAKING ->
                    records.add(new TraceRecord.Pause(at, entry(), between(700, 15_000)));
            case LEAVING_UPSTREAM -> leaving(at);
            case CRASHING_REQUEST -> crashingRequest(at);
            case SILENT_CONNECTION -> silence(at);
            case KILLED_INSTANCE -> kill(at);
            case PLANNED_STOP -> records.add(new TraceRecord.Drain(at, entry()));
            case LOST_ANSWERS -> lostAnswers(at);
            case SLOW_LINKS ->
                    records.add(
                            new TraceRecord.SlowLinks(
                                    at, SLOW_SHARE, between(500, 8000), between(3000, 12_000)));
            default -> throw new IllegalArgumentException("no faults for " + scenario);
        }
    }

    private long between(int low, int high) {
        return low + random.nextInt(high - low);
    }

    private String entry() {
        return any(deployment.entries());
    }

    private String any(List<String> names) {
        return names.get(random.nextInt(names.size()));
    }

    private void publish(long at) {
        int adapter = random.nextInt(deployment.shape().adapters());
        records.add(new TraceRecord.Publish(at, 0, Map.of(Deployment.adapterName(adapter), 2)));
    }

    private void restarts(long at) {
        records.add(
                new TraceRecord.EngineRestart(at, any(deployment.engines()), between(500, 5000)));
        records.add(
                new TraceRecord.EngineRestart(
                        at + between(0, 4000), any(deployment.engines()), between(500, 5000)));
    }

    private void configurationDown(long at) {
        String mode = random.nextBoolean() ? "down" : "stale";
        records.add(new TraceRecord.ConfigurationService(at, mode));
        publish(at + between(500, 1500));
        records.add(new TraceRecord.ConfigurationService(at + between(3000, 9000), "up"));
    }

    private void partition(long at) {
        List<String> left = new ArrayList<>();
        List<String> right = new ArrayList<>();
        boolean byDataCentre = random.nextBoolean();
        List<String> all = deployment.entries();
        for (int i = 0; i < all.size(); i++) {
            boolean toLeft =
                    byDataCentre
                            ? deployment.dataCentre(i).equals(deployment.dataCentre(0))
                            : random.nextBoolean();
            (toLeft ? left : right).add(all.get(i));
        }
        records.add(new TraceRecord.Partition(at, List.of(left, right)));
        records.add(new TraceRecord.Heal(at + between(1000, 12_000)));
    }

    private void leaving(long at) {
        String upstream =
                random.nextInt(4) == 0 ? any(deployment.runners()) : any(deployment.engines());
        records.add(new TraceRecord.UpstreamState(at, upstream, "leaving"));
        long back = at + between(7000, 12_000);
        records.add(new TraceRecord.UpstreamState(back, upstream, "live"));
    }

    private void crashingRequest(long at) {
        int adapter = random.nextInt(deployment.shape().adapters());
        String kind =
                deployment.kinds().stream()
                        .filter(k -> k.isModelRequest())
                        .findFirst()
                        .orElseThrow()
                        .name();
        String id = "crash" + crashing++;
        long next = at;
        for (int i = 0; i < CRASHING_RESENDS; i++) {
            records.add(
                    new TraceRecord.Model(
                            next,
                            id + '~' + i,
                            entry(),
                            Deployment.callerFor(adapter),
                            kind,
                            Deployment.adapterName(adapter),
                            0,
                            MODEL_TOKENS,
                            true));
            next += between(500, 4000);
        }
    }

    private void silence(long at) {
        String from = entry();
        boolean toEngine = random.nextBoolean();
        for (String e : toEngine ? deployment.engines() : deployment.entries()) {
            if (!e.equals(from) && random.nextBoolean()) {
                records.add(new TraceRecord.Silence(at, from, e));
            }
        }
    }

    private void kill(long at) {
        String e = entry();
        records.add(new TraceRecord.Kill(at, e));
        records.add(new TraceRecord.Start(at + between(200, 6000), e));
    }

    private void lostAnswers(long at) {
        for (String r : deployment.runners()) {
            records.add(new TraceRecord.AnswersLost(at, r, between(1000, 5000)));
        }
    }
}
