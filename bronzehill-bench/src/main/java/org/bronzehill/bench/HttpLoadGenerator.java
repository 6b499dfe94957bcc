package org.bronzehill.bench;

import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Sends requests either at a fixed rate (open loop) or with a fixed number of requests in flight
 * (closed loop), and records their latencies.
 */
final class HttpLoadGenerator {

    private static final long MAX_LATENCY_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(10);

    private final HttpClient client;
    private final Supplier<HttpRequest> requests;

    HttpLoadGenerator(HttpClient client, Supplier<HttpRequest> requests) {
        this.client = client;
        this.requests = requests;
    }

    /**
     * Latencies in nanoseconds and failures of one run.
     *
     * @param perSecond successful requests per second
     */
    record Result(Histogram latencies, long failures, double perSecond) {

        double percentileMicros(double percentile) {
            return latencies.getValueAtPercentile(percentile) / 1e3;
        }
    }

    /**
     * Sends {@code rate} requests per second, each at its planned time or as soon as possible
     * after.
     */
    Result atRate(int rate, Duration duration) throws InterruptedException {
        long count = rate * duration.toSeconds();
        LoadRun run = new LoadRun((int) Math.min(count, 4096));
        long start = System.nanoTime();
        for (long i = 0; i < count; i++) {
            long plannedNanos = start + i * TimeUnit.SECONDS.toNanos(1) / rate;
            while (System.nanoTime() < plannedNanos) {
                LockSupport.parkNanos(plannedNanos - System.nanoTime());
            }
            run.send(plannedNanos);
        }
        return run.result(start);
    }

    /** Keeps {@code concurrency} requests in flight for the given duration. */
    Result atConcurrency(int concurrency, Duration duration) throws InterruptedException {
        LoadRun run = new LoadRun(concurrency);
        long start = System.nanoTime();
        while (System.nanoTime() - start < duration.toNanos()) {
            run.send(0);
        }
        return run.result(start);
    }

    /** State of a run in progress. */
    private final class LoadRun {
        private final Histogram latencies =
                new ConcurrentHistogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
        private final AtomicLong failures = new AtomicLong();
        private final Semaphore inFlight;
        private final int permits;

        private LoadRun(int permits) {
            this.permits = permits;
            this.inFlight = new Semaphore(permits);
        }

        /**
         * Sends a request. Its latency is measured from the planned time, so that the delay of a
         * late send is included.
         *
         * @param plannedNanos planned time; 0 for the current time
         */
        private void send(long plannedNanos) throws InterruptedException {
            inFlight.acquire();
            long from = plannedNanos == 0 ? System.nanoTime() : plannedNanos;
            client.sendAsync(requests.get(), HttpResponse.BodyHandlers.ofByteArray())
                    .whenComplete((response, error) -> onCompleted(from, response));
        }

        private void onCompleted(long from, HttpResponse<byte[]> response) {
            if (response != null && response.statusCode() == 200) {
                latencies.recordValue(Math.min(MAX_LATENCY_NANOS, System.nanoTime() - from));
            } else {
                failures.incrementAndGet();
            }
            inFlight.release();
        }

        private Result result(long start) throws InterruptedException {
            long unfinished = 0;
            if (!inFlight.tryAcquire(permits, DRAIN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
                unfinished = permits - inFlight.availablePermits();
            }
            double seconds = (System.nanoTime() - start) / 1e9;
            return new Result(
                    latencies, failures.get() + unfinished, latencies.getTotalCount() / seconds);
        }
    }
}
