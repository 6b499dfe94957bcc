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
 * Measures with real processes what an entry instance adds to a call of a plain service, and how
 * many such calls one instance completes.
 */
public final class LoopbackBench {

    private static final int[] RATES = {200, 1_000};
    private static final int CALLERS = 512;
    private static final Duration WARM_UP = Duration.ofSeconds(5);
    private static final Duration RUN = Duration.ofSeconds(10);
    private static final long READY_MILLIS = 60_000;

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
        new OpenLoop(client, direct).atRate(RATES[1], WARM_UP);
        new OpenLoop(client, through).atRate(RATES[1], WARM_UP);
        for (int rate : RATES) {
            OpenLoop.Result a = new OpenLoop(client, direct).atRate(rate, RUN);
            OpenLoop.Result b = new OpenLoop(client, through).atRate(rate, RUN);
            row("direct", String.valueOf(rate), a);
            row("through one entry instance", String.valueOf(rate), b);
            System.out.printf(
                    Locale.ROOT,
                    "%-28s %12d %12.0f %12.0f%n",
                    "added",
                    rate,
                    b.micros(50) - a.micros(50),
                    b.micros(99) - a.micros(99));
        }
        row("direct", CALLERS + " callers", new OpenLoop(client, direct).asFastAs(CALLERS, RUN));
        row(
                "through one entry instance",
                CALLERS + " callers",
                new OpenLoop(client, through).asFastAs(CALLERS, RUN));
    }

    private static void row(String name, String rate, OpenLoop.Result r) {
        System.out.printf(
                Locale.ROOT,
                "%-28s %12s %12.0f %12.0f %12.0f %9d%n",
                name,
                rate,
                r.micros(50),
                r.micros(99),
                r.perSecond(),
                r.failures());
    }

    private static Supplier<HttpRequest> request(URI uri) {
        String member = Declarations.members(Profile.DRIFTLESS).get(0);
        return () ->
                HttpRequest.newBuilder(uri)
                        .header("Authorization", "Bearer " + Declarations.token(member, 0))
                        .header("X-Bronzehill-Kind", "pickup-lookup")
                        .header("Content-Type", "application/json")
                        .POST(BodyPublishers.ofString("{\"herd\":\"17\"}"))
                        .build();
    }

    private static void awaitReady(HttpClient client, URI entry)
            throws IOException, InterruptedException {
        HttpRequest ready = HttpRequest.newBuilder(entry.resolve("/health/ready")).build();
        long end = System.nanoTime() + READY_MILLIS * 1_000_000;
        while (System.nanoTime() < end) {
            try {
                if (client.send(ready, BodyHandlers.discarding()).statusCode() == 200) {
                    return;
                }
            } catch (IOException e) {
                // The instance does not listen yet.
            }
            Thread.sleep(100);
        }
        throw new IOException("the entry instance did not become ready; see " + entry);
    }
}
