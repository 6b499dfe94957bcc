package org.bronzehill.standin.driver.internal;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Round-robin load balancer for the entry instances whose readiness check succeeds. */
public final class Balancer implements AutoCloseable {

    private static final Duration CHECK_PERIOD = Duration.ofMillis(200);
    private static final Duration CHECK_TIMEOUT = Duration.ofMillis(1000);

    private final Map<String, URI> targets = new ConcurrentSkipListMap<>();
    private final Map<String, Boolean> ready = new ConcurrentHashMap<>();
    private final AtomicInteger nextIndex = new AtomicInteger();
    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CHECK_TIMEOUT)
                    .build();
    private final ScheduledExecutorService checks =
            Executors.newSingleThreadScheduledExecutor(Threads.daemon("balancer"));

    private Balancer() {}

    /** Creates a balancer that checks the readiness of its targets until it is closed. */
    public static Balancer create() {
        Balancer balancer = new Balancer();
        balancer.checks.scheduleAtFixedRate(
                balancer::check, 0, CHECK_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
        return balancer;
    }

    /** Entry instance that can receive a request. */
    public record Target(String instance, URI uri) {}

    /** Adds an instance, which receives requests once its readiness check succeeds. */
    public void add(String instance, URI uri) {
        targets.put(instance, uri);
    }

    public void remove(String instance) {
        targets.remove(instance);
        ready.remove(instance);
    }

    private void check() {
        targets.forEach(
                (instance, uri) -> {
                    HttpRequest request =
                            HttpRequest.newBuilder(uri.resolve("/health/ready"))
                                    .timeout(CHECK_TIMEOUT)
                                    .build();
                    client.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                            .whenComplete(
                                    (r, e) ->
                                            recordCheck(
                                                    instance, e == null && r.statusCode() == 200));
                });
    }

    private void recordCheck(String instance, boolean success) {
        if (targets.containsKey(instance)) {
            ready.put(instance, success);
        }
    }

    /**
     * Excludes an instance until its next successful check, for example after a broken connection.
     */
    public void markUnready(String instance) {
        ready.computeIfPresent(instance, (k, v) -> false);
    }

    /** Returns the instances whose last readiness check succeeded. */
    public List<String> ready() {
        return targets.keySet().stream().filter(i -> ready.getOrDefault(i, false)).toList();
    }

    /**
     * Returns the next ready instance. Returns {@code avoid} only if no other instance is ready.
     */
    public Optional<Target> next(String avoid) {
        List<String> candidates = ready();
        List<String> others = candidates.stream().filter(i -> !i.equals(avoid)).toList();
        List<String> chosen = others.isEmpty() ? candidates : others;
        if (chosen.isEmpty()) {
            return Optional.empty();
        }
        String instance = chosen.get(Math.floorMod(nextIndex.getAndIncrement(), chosen.size()));
        return Optional.ofNullable(targets.get(instance)).map(u -> new Target(instance, u));
    }

    @Override
    public void close() {
        checks.shutdownNow();
    }
}
