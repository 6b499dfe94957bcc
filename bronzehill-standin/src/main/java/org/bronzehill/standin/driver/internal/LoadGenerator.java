package org.bronzehill.standin.driver.internal;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.bronzehill.core.result.Resend;
import org.jboss.logging.Logger;

/**
 * Sends the calls of a workload at their arrival times (open loop). A call is resent if the result
 * code advises it or no result code arrived, through another instance if one is ready. Every resend
 * of an act uses the same idempotency key.
 */
public final class LoadGenerator implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(LoadGenerator.class);
    private static final int MAX_ATTEMPTS = 6;

    /** Longer than the deadline of an act, because the caller needs to know how the act ended. */
    private static final Duration ACT_RESEND_LIMIT = Duration.ofSeconds(15);

    private static final long RETRY_DELAY_MS = 200;
    private static final long RESEND_LATER_DELAY_MS = 1000;
    private static final long TARGET_TIMEOUT_MS = 15_000;

    private final Workload workload;
    private final Balancer balancer;
    private final CallLog log;
    private final ExecutorService callerThreads =
            Executors.newCachedThreadPool(Threads.daemon("caller"));
    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();
    private final long startNanos = System.nanoTime();
    private final AttemptClient attemptClient = AttemptClient.of(client, startNanos);
    private volatile boolean sending = true;
    private Thread pacer;

    private LoadGenerator(Workload workload, Balancer balancer, CallLog log) {
        this.workload = workload;
        this.balancer = balancer;
        this.log = log;
    }

    /** Starts to send the workload. */
    public static LoadGenerator start(Workload workload, Balancer balancer, CallLog log) {
        LoadGenerator generator = new LoadGenerator(workload, balancer, log);
        generator.pacer = Threads.daemon("load").newThread(generator::pace);
        generator.pacer.start();
        return generator;
    }

    /** Returns the time since the start of the load. */
    public long elapsedMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private void pace() {
        try {
            while (sending) {
                Call call = workload.next();
                long wait = call.atMs() - elapsedMs();
                if (wait > 0) {
                    Thread.sleep(wait);
                }
                if (sending) {
                    submit(call);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a call in addition to the workload. */
    public void submit(Call call) {
        log.callStarted();
        callerThreads.execute(() -> run(call));
    }

    private void run(Call call) {
        boolean sent = false;
        try {
            String last = "";
            boolean again = true;
            long begin = System.nanoTime();
            Duration resendLimit =
                    call.isAct() ? ACT_RESEND_LIMIT : call.trafficClass().callerDeadline();
            for (int i = 0; i < MAX_ATTEMPTS && again; i++) {
                if (System.nanoTime() - begin > resendLimit.toNanos()) {
                    return;
                }
                Optional<Balancer.Target> target = awaitTarget(last);
                if (target.isEmpty()) {
                    return;
                }
                AttemptOutcome outcome = attemptClient.send(call, target.get());
                sent = true;
                log.add(outcome);
                last = target.get().instance();
                again = awaitResend(outcome);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            LOG.error("call failed with an unexpected exception", e);
        } finally {
            log.callEnded(sent);
        }
    }

    private Optional<Balancer.Target> awaitTarget(String avoid) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TARGET_TIMEOUT_MS);
        Optional<Balancer.Target> target = balancer.next(avoid);
        while (target.isEmpty() && System.nanoTime() < end) {
            Thread.sleep(RETRY_DELAY_MS);
            target = balancer.next(avoid);
        }
        return target;
    }

    /** Waits for the advised time before a resend; returns false if the call must not be resent. */
    private boolean awaitResend(AttemptOutcome outcome) throws InterruptedException {
        if (outcome.code() == null) {
            balancer.markUnready(outcome.instance());
            Thread.sleep(RETRY_DELAY_MS);
            return true;
        }
        Resend advice = outcome.code().resend();
        // Resending an act with the same key makes the entry instances repeat its lookup.
        if (advice == Resend.LATER || advice == Resend.AFTER_LOOKUP) {
            Thread.sleep(RESEND_LATER_DELAY_MS);
        } else if (advice == Resend.NOW) {
            Thread.sleep(RETRY_DELAY_MS / 4);
        }
        return advice != Resend.NO;
    }

    /** Stops sending and waits for open calls; returns whether all calls ended in time. */
    public boolean finish(Duration timeout) throws InterruptedException {
        sending = false;
        pacer.interrupt();
        pacer.join();
        long end = System.nanoTime() + timeout.toNanos();
        while (log.open() > 0 && System.nanoTime() < end) {
            Thread.sleep(RETRY_DELAY_MS / 4);
        }
        return log.open() == 0;
    }

    @Override
    public void close() {
        sending = false;
        callerThreads.shutdownNow();
    }
}
