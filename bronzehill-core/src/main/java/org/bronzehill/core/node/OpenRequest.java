package org.bronzehill.core.node;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.bronzehill.config.KindSpec;
import org.bronzehill.core.engine.EngineResult;
import org.bronzehill.core.model.ModelRequest;
import org.bronzehill.core.placement.Route;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.result.RunState;

/** State of an unanswered model request at the instance that received it. */
final class OpenRequest {

    private final ModelRequest request;
    private final AccessCheck.Granted granted;
    private final byte[] fingerprint;
    private final long deadlineNanos;
    private final long arrivedNanos;
    private final Map<Integer, Attempt> attempts = new TreeMap<>();
    private final Set<String> triedEngines = new HashSet<>();
    private int lastAttemptNumber;
    private int relayedAttempt;
    private long lastProgressNanos;
    private long retryAtNanos = -1;
    private long waitingSinceNanos = -1;
    private int countedAttempts = 1;
    private boolean hedged;
    private EngineResult possiblyRunResult;

    OpenRequest(ModelRequest request, AccessCheck.Granted granted, byte[] fingerprint, long now) {
        this.request = request;
        this.granted = granted;
        this.fingerprint = fingerprint;
        this.arrivedNanos = now;
        this.deadlineNanos = now + granted.deadline().toNanos();
    }

    /** An attempt that has not ended. */
    record Attempt(int number, Route route, long sentNanos) {}

    ModelRequest request() {
        return request;
    }

    String id() {
        return request.requestId();
    }

    AccessCheck.Granted granted() {
        return granted;
    }

    KindSpec kind() {
        return granted.kind();
    }

    byte[] fingerprint() {
        return fingerprint;
    }

    long arrivedNanos() {
        return arrivedNanos;
    }

    Duration timeLeft(long now) {
        return Duration.ofNanos(deadlineNanos - now);
    }

    Map<Integer, Attempt> attempts() {
        return attempts;
    }

    /** Adds an attempt that uses the given route. */
    Attempt addAttempt(Route route, long now) {
        Attempt attempt = new Attempt(++lastAttemptNumber, route, now);
        attempts.put(attempt.number(), attempt);
        triedEngines.add(route.engine());
        retryAtNanos = -1;
        return attempt;
    }

    /** Returns the number of the last attempt; 0 if there was none. */
    int lastAttemptNumber() {
        return lastAttemptNumber;
    }

    /** Returns the engines that earlier attempts used. */
    Set<String> triedEngines() {
        return triedEngines;
    }

    /** Returns the number of the attempt whose chunks form the answer; 0 if there is none. */
    int relayedAttempt() {
        return relayedAttempt;
    }

    /**
     * Returns whether the caller has received chunks. An answer that is not streamed is sent only
     * when it is complete.
     */
    boolean delivered() {
        return relayedAttempt != 0 && request.stream();
    }

    /** Resets the relayed attempt after it failed before the caller received any chunk. */
    void restartAnswer() {
        relayedAttempt = 0;
    }

    void recordProgress(int attempt, long now) {
        relayedAttempt = attempt;
        lastProgressNanos = now;
    }

    long lastProgressNanos() {
        return lastProgressNanos;
    }

    /**
     * Schedules the next attempt for {@code retryAt}, because no engine has a usable holder or this
     * instance may not send requests at present.
     */
    void scheduleRetry(long now, long retryAt) {
        if (waitingSinceNanos < 0) {
            waitingSinceNanos = now;
        }
        retryAtNanos = retryAt;
    }

    /**
     * Returns the time since the first call of {@code scheduleRetry}, including attempts made
     * since; 0 if there was none.
     */
    long holderWaitNanos(long now) {
        return waitingSinceNanos < 0 ? 0 : now - waitingSinceNanos;
    }

    /** Returns the number of attempts that count towards the maximum. */
    int countedAttempts() {
        return countedAttempts;
    }

    /** Counts a retry or hedge towards the maximum number of attempts. */
    void countAttempt() {
        countedAttempts++;
    }

    boolean isRetryDue(long now) {
        return retryAtNanos >= 0 && now - retryAtNanos >= 0;
    }

    boolean hedged() {
        return hedged;
    }

    void markHedged() {
        hedged = true;
    }

    /** Stores the first result after which the request has run or may have run. */
    void recordResult(EngineResult result) {
        if (possiblyRunResult == null && result.code().runState() != RunState.NOT_RUN) {
            possiblyRunResult = result;
        }
    }

    /**
     * Returns the result to report to the caller. If an earlier attempt may have run, its result
     * replaces a final refusal, which would claim that the request did not run.
     */
    EngineResult resultForCaller(EngineResult last) {
        boolean claimsNotRun = last.code().runState() == RunState.NOT_RUN;
        return claimsNotRun && possiblyRunResult != null ? possiblyRunResult : last;
    }

    static EngineResult result(
            ResultCode code, ModelRequest request, long configurationNumber, String engine) {
        return new EngineResult(
                code,
                request.adapter(),
                0,
                configurationNumber,
                engine,
                0,
                "",
                Duration.ZERO,
                Duration.ZERO);
    }
}
