package org.bronzehill.bench;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;
import java.util.function.Supplier;
import org.bronzehill.standin.Profile;
import org.bronzehill.standin.driver.internal.Declarations;
import org.bronzehill.standin.driver.internal.Deployment;
import org.bronzehill.standin.driver.internal.Fleet;

/**
 * Measures with real processes the latency that an entry instance adds to calls of a plain service,
 * and the throughput of one instance for such calls.
 */
public final class LoopbackBench {

    private static final int[] RATES_PER_SECOND = {200, 1_000};
    private static final int CONCURRENT_CALLS = 512;
    private static final Duration WARM_UP_DURATION = Duration.ofSeconds(5);
    private static final Duration RUN_DURATION = Duration.ofSeconds(10);
    private static final long READY_TIMEOUT_MS = 60_000;

    private LoopbackBench() {}

    /** Starts the processes, measures and prints the rows. */
    public static void main(String[] args) throws IOException, InterruptedException {
        Path root = Path.of(System.getProperty("bronzehill.root", ".")).toAbsolutePath();
        Path directory = root.resolve("out").resolve("bench-" + ProcessHandle.current().pid());
        try (Fleet fleet = Fleet.create(directory)) {
            Deployment d = Deployment.start(Profile.DRIFTLESS, root, directory, fleet, 1, 1);
            d.startEntry("entry-1");
            HttpClient client =
                    HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
            awaitReady(client, d.entryUri("entry-1"));
            Supplier<HttpRequest> direct =
                    request(d.uri("runner-1").resolve("/services/pickup/lookup"));
            Supplier<HttpRequest> through =
                    request(d.entryUri("entry-1").resolve("/v1/services/pickup/lookup"));
            measure(client, direct, through);
        }
    }

    private static void measure(
            HttpClient client, Supplier<HttpRequest> direct, Supplier<HttpRequest> through)
            throws InterruptedException {
        System.out.printf(
                "%-28s %12s %12s %12s %12s %9s%n",
                "plain-service call", "rate/s", "p50 µs", "p99 µs", "completed/s", "failures");
        new HttpLoadGenerator(client, direct).atRate(RATES_PER_SECOND[1], WARM_UP_DURATION);
        new HttpLoadGenerator(client, through).atRate(RATES_PER_SECOND[1], WARM_UP_DURATION);
        for (int rate : RATES_PER_SECOND) {
            HttpLoadGenerator.Result a =
                    new HttpLoadGenerator(client, direct).atRate(rate, RUN_DURATION);
            HttpLoadGenerator.Result b =
                    new HttpLoadGenerator(client, through).atRate(rate, RUN_DURATION);
            row("direct", String.valueOf(rate), a);
            row("through one entry instance", String.valueOf(rate), b);
            System.out.printf(
                    Locale.ROOT,
                    "%-28s %12d %12.0f %12.0f%n",
                    "added",
                    rate,
                    b.percentileMicros(50) - a.percentileMicros(50),
                    b.percentileMicros(99) - a.percentileMicros(99));
        }
        row(
                "direct",
                CONCURRENT_CALLS + " callers",
                new HttpLoadGenerator(client, direct)
                        .atConcurrency(CONCURRENT_CALLS, RUN_DURATION));
        row(
                "through one entry instance",
                CONCURRENT_CALLS + " callers",
                new HttpLoadGenerator(client, through)
                        .atConcurrency(CONCURRENT_CALLS, RUN_DURATION));
    }

    private static void row(String name, String rate, HttpLoadGenerator.Result r) {
        System.out.printf(
                Locale.ROOT,
                "%-28s %12s %12.0f %12.0f %12.0f %9d%n",
                name,
                rate,
                r.percentileMicros(50),
                r.percentileMicros(99),
                r.perSecond(),
                r.failures());
    }

    private static Supplier<HttpRequest> request(URI uri) {
        String team = Declarations.teams(Profile.DRIFTLESS).get(0);
        return () ->
                HttpRequest.newBuilder(uri)
                        .header("Authorization", "Bearer " + Declarations.token(team, 0))
                        .header("X-Bronzehill-Kind", "pickup-lookup")
                        .header("Content-Type", "application/json")
                        .POST(BodyPublishers.ofString("{\"herd\":\"17\"}"))
                        .build();
    }

    private static void awaitReady(HttpClient client, URI entry)
            throws IOException, InterruptedException {
        HttpRequest ready = HttpRequest.newBuilder(entry.resolve("/health/ready")).build();
        long end = System.nanoTime() + READY_TIMEOUT_MS * 1_000_000;
        while (System.nanoTime() < end) {
            try {
                if (client.send(ready, BodyHandlers.discarding()).statusCode() == 200) {
                    return;
                }
            } catch (IOException e) {
                // The instance is not listening yet.
            }
            Thread.sleep(100);
        }
        throw new IOException("the entry instance did not become ready in time: " + entry);
    }
}
