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
 * Sends requests at a fixed rate, or as fast as a number of callers can, and records their
 * latencies.
 */
final class OpenLoop {

    private static final long HIGHEST_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final int DIGITS = 3;
    private static final Duration DRAIN = Duration.ofSeconds(10);

    private final HttpClient client;
    private final Supplier<HttpRequest> requests;

    OpenLoop(HttpClient client, Supplier<HttpRequest> requests) {
        this.client = client;
        this.requests = requests;
    }

    /**
     * Latencies in nanoseconds and failures of one run.
     *
     * @param perSecond completed requests per second
     */
    record Result(Histogram latencies, long failures, double perSecond) {

        double micros(double percentile) {
            return latencies.getValueAtPercentile(percentile) / 1e3;
        }
    }

    /** Sends {@code rate} requests per second, each from its planned time on. */
    Result atRate(int rate, Duration duration) throws InterruptedException {
        long count = rate * duration.toSeconds();
        Run run = new Run((int) Math.min(count, 4096));
        long start = System.nanoTime();
        for (long i = 0; i < count; i++) {
            long planned = start + i * TimeUnit.SECONDS.toNanos(1) / rate;
            while (System.nanoTime() < planned) {
                LockSupport.parkNanos(planned - System.nanoTime());
            }
            run.send(planned);
        }
        return run.result(start);
    }

    /** Keeps {@code callers} requests open for the given time. */
    Result asFastAs(int callers, Duration duration) throws InterruptedException {
        Run run = new Run(callers);
        long start = System.nanoTime();
        while (System.nanoTime() - start < duration.toNanos()) {
            run.send(0);
        }
        return run.result(start);
    }

    /** One run in progress. */
    private final class Run {
        private final Histogram latencies = new ConcurrentHistogram(HIGHEST_NANOS, DIGITS);
        private final AtomicLong failures = new AtomicLong();
        private final Semaphore open;
        private final int permits;

        private Run(int permits) {
            this.permits = permits;
            this.open = new Semaphore(permits);
        }

        /** A latency counts from the planned time, so that a late send is not hidden; 0 for now. */
        private void send(long planned) throws InterruptedException {
            open.acquire();
            long from = planned == 0 ? System.nanoTime() : planned;
            client.sendAsync(requests.get(), HttpResponse.BodyHandlers.ofByteArray())
                    .whenComplete((answer, error) -> ended(from, answer));
        }

        private void ended(long from, HttpResponse<byte[]> answer) {
            if (answer != null && answer.statusCode() == 200) {
                latencies.recordValue(Math.min(HIGHEST_NANOS, System.nanoTime() - from));
            } else {
                failures.incrementAndGet();
            }
            open.release();
        }

        private Result result(long start) throws InterruptedException {
            long lost = 0;
            if (!open.tryAcquire(permits, DRAIN.toMillis(), TimeUnit.MILLISECONDS)) {
                lost = permits - open.availablePermits();
            }
            double seconds = (System.nanoTime() - start) / 1e9;
            return new Result(
                    latencies, failures.get() + lost, latencies.getTotalCount() / seconds);
        }
    }
}
