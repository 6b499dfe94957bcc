package org.bronzehill.replay.generate;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.bronzehill.replay.trace.TraceRecord;

/**
 * Adds the faults of scenarios to a trace. A fault begins at a random time in the first two thirds
 * of the traffic.
 */
final class FaultGenerator {

    private static final double FAILING_LOAD_SHARE = 0.8;
    private static final double SLOW_MESSAGE_SHARE = 0.03;
    private static final int CRASHING_REQUEST_SENDS = 4;
    private static final int CRASHING_REQUEST_TOKENS = 16;

    private final Deployment deployment;
    private final RandomGenerator random;
    private final long trafficStartMs;
    private final long trafficEndMs;
    private final List<TraceRecord> records;
    private int crashingRequests;

    FaultGenerator(
            Deployment deployment,
            RandomGenerator random,
            long trafficStartMs,
            long trafficEndMs,
            List<TraceRecord> records) {
        this.deployment = deployment;
        this.random = random;
        this.trafficStartMs = trafficStartMs;
        this.trafficEndMs = trafficEndMs;
        this.records = records;
    }

    void add(Scenario scenario) {
        long at =
                trafficStartMs
                        + random.nextLong(Math.max(1, (trafficEndMs - trafficStartMs) * 2 / 3));
        switch (scenario) {
            case STEADY -> addPublication(at);
            case POPULARITY_SHIFT -> {}
            case ENGINE_RESTART -> addEngineRestarts(at);
            case FAILING_LOADS ->
                    records.add(
                            new TraceRecord.LoadFailures(
                                    at, FAILING_LOAD_SHARE, randomBetween(2000, 8000)));
            case CONFIGURATION_DOWN -> addConfigurationOutage(at);
            case PARTITION -> addPartition(at);
            case LATE_WAKING ->
                    records.add(
                            new TraceRecord.Pause(at, randomEntry(), randomBetween(700, 15_000)));
            case LEAVING_UPSTREAM -> addLeavingUpstream(at);
            case CRASHING_REQUEST -> addCrashingRequest(at);
            case SILENT_CONNECTION -> addSilentConnections(at);
            case KILLED_INSTANCE -> addKill(at);
            case PLANNED_STOP -> records.add(new TraceRecord.Drain(at, randomEntry()));
            case LOST_ANSWERS -> addLostAnswers(at);
            case SLOW_LINKS ->
                    records.add(
                            new TraceRecord.SlowLinks(
                                    at,
                                    SLOW_MESSAGE_SHARE,
                                    randomBetween(500, 8000),
                                    randomBetween(3000, 12_000)));
            default -> throw new IllegalArgumentException("no faults for " + scenario);
        }
    }

    private long randomBetween(int low, int high) {
        return low + random.nextInt(high - low);
    }

    private String randomEntry() {
        return randomElement(deployment.entries());
    }

    private String randomElement(List<String> names) {
        return names.get(random.nextInt(names.size()));
    }

    private void addPublication(long at) {
        int adapter = random.nextInt(deployment.shape().adapters());
        records.add(new TraceRecord.Publish(at, 0, Map.of(Deployment.adapterName(adapter), 2)));
    }

    private void addEngineRestarts(long at) {
        records.add(
                new TraceRecord.EngineRestart(
                        at, randomElement(deployment.engines()), randomBetween(500, 5000)));
        records.add(
                new TraceRecord.EngineRestart(
                        at + randomBetween(0, 4000),
                        randomElement(deployment.engines()),
                        randomBetween(500, 5000)));
    }

    private void addConfigurationOutage(long at) {
        String mode = random.nextBoolean() ? "down" : "stale";
        records.add(new TraceRecord.ConfigurationService(at, mode));
        addPublication(at + randomBetween(500, 1500));
        records.add(new TraceRecord.ConfigurationService(at + randomBetween(3000, 9000), "up"));
    }

    private void addPartition(long at) {
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
        records.add(new TraceRecord.Heal(at + randomBetween(1000, 12_000)));
    }

    private void addLeavingUpstream(long at) {
        String upstream =
                random.nextInt(4) == 0
                        ? randomElement(deployment.runners())
                        : randomElement(deployment.engines());
        records.add(new TraceRecord.UpstreamState(at, upstream, "leaving"));
        long back = at + randomBetween(7000, 12_000);
        records.add(new TraceRecord.UpstreamState(back, upstream, "live"));
    }

    private void addCrashingRequest(long at) {
        int adapter = random.nextInt(deployment.shape().adapters());
        String kind =
                deployment.kinds().stream()
                        .filter(k -> k.isModelRequest())
                        .findFirst()
                        .orElseThrow()
                        .name();
        String id = "crash" + crashingRequests++;
        long next = at;
        for (int i = 0; i < CRASHING_REQUEST_SENDS; i++) {
            records.add(
                    new TraceRecord.Model(
                            next,
                            id + '~' + i,
                            randomEntry(),
                            Deployment.callerFor(adapter),
                            kind,
                            Deployment.adapterName(adapter),
                            0,
                            CRASHING_REQUEST_TOKENS,
                            true));
            next += randomBetween(500, 4000);
        }
    }

    private void addSilentConnections(long at) {
        String from = randomEntry();
        boolean toEngine = random.nextBoolean();
        for (String e : toEngine ? deployment.engines() : deployment.entries()) {
            if (!e.equals(from) && random.nextBoolean()) {
                records.add(new TraceRecord.Silence(at, from, e));
            }
        }
    }

    private void addKill(long at) {
        String e = randomEntry();
        records.add(new TraceRecord.Kill(at, e));
        records.add(new TraceRecord.Start(at + randomBetween(200, 6000), e));
    }

    private void addLostAnswers(long at) {
        for (String r : deployment.runners()) {
            records.add(new TraceRecord.AnswersLost(at, r, randomBetween(1000, 5000)));
        }
    }
}
