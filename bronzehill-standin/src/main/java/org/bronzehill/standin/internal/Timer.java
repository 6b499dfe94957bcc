package org.bronzehill.standin.internal;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/** Runs the delayed and periodic tasks of a stand-in on one daemon thread. */
public final class Timer implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(Timer.class);

    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(
                    r -> {
                        Thread thread = new Thread(r, "standin-timer");
                        thread.setDaemon(true);
                        return thread;
                    });

    private Timer() {}

    public static Timer create() {
        return new Timer();
    }

    /** Runs {@code work} after a delay. */
    public void after(double delayMs, Runnable work) {
        if (!executor.isShutdown()) {
            executor.schedule(guarded(work), (long) (delayMs * 1000), TimeUnit.MICROSECONDS);
        }
    }

    /** Runs {@code work} periodically. */
    public void every(long periodMs, Runnable work) {
        executor.scheduleAtFixedRate(guarded(work), periodMs, periodMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private static Runnable guarded(Runnable work) {
        return () -> {
            try {
                work.run();
            } catch (RuntimeException e) {
                LOG.error("scheduled task failed", e);
            }
        };
    }
}
