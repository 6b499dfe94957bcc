package org.bronzehill.standin.driver.internal;

import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Periodically records the configuration number on the status page of each entry instance. */
final class StatusMonitor implements AutoCloseable {

    private static final long PERIOD_MS = 300;

    private final Deployment deployment;
    private final RunObservations observations;
    private final ScheduledExecutorService executor;

    private StatusMonitor(Deployment deployment, RunObservations observations) {
        this.deployment = deployment;
        this.observations = observations;
        // One thread per instance, so that a paused instance delays only its own readings.
        this.executor =
                Executors.newScheduledThreadPool(
                        deployment.entryNames().size(), Threads.daemon("status"));
    }

    static StatusMonitor start(Deployment deployment, RunObservations observations) {
        StatusMonitor monitor = new StatusMonitor(deployment, observations);
        for (String name : deployment.entryNames()) {
            monitor.executor.scheduleWithFixedDelay(
                    () -> monitor.read(name), 0, PERIOD_MS, TimeUnit.MILLISECONDS);
        }
        return monitor;
    }

    private void read(String name) {
        String incarnation = deployment.incarnation(name);
        try {
            long number =
                    deployment
                            .control()
                            .get(deployment.entryUri(name), "/status")
                            .at("/configuration/number")
                            .asLong();
            // If the instance restarted during the call, the incarnation of the reading is unknown.
            if (number > 0 && incarnation.equals(deployment.incarnation(name))) {
                synchronized (observations) {
                    observations.addObservedNumber(incarnation, number);
                }
            }
        } catch (IOException e) {
            // An instance that is down or paused has no status page.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws InterruptedException {
        executor.shutdownNow();
        executor.awaitTermination(10, TimeUnit.SECONDS);
    }
}
