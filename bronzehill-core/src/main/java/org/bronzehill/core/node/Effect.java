package org.bronzehill.core.node;

import java.time.Duration;
import org.bronzehill.core.model.AdapterVersion;
import org.bronzehill.core.model.Provenance;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.protocol.generated.Envelope;

/** An action that the decision core requests from the program that hosts it. */
public sealed interface Effect {

    /**
     * Sends a message to a peer.
     *
     * @param newConnection whether to open a new connection, because the open one may have stopped
     *     delivering data without an error
     */
    record SendPeer(String instance, Envelope.Builder envelope, boolean newConnection)
            implements Effect {}

    /**
     * Reads the configuration service, or waits there for a change (long poll).
     *
     * @param maxWait zero for an immediate answer; otherwise how long the service may wait for a
     *     newer configuration before it answers
     */
    record ReadConfiguration(long haveNumber, Duration maxWait) implements Effect {}

    /** Reads the published instance list. */
    record ReadInstanceList(long haveVersion) implements Effect {}

    /** Reads the state report of an engine. */
    record ReadEngineReport(String engine) implements Effect {}

    /** Reads the changes of an engine's prefix cache after a sequence number. */
    record ReadCacheEvents(String engine, long after) implements Effect {}

    /**
     * Sends a management command, called an order, to an engine.
     *
     * @param weights location of the adapter's weights
     * @param role role that the engine is to take, passed to it unchanged; empty except for {@link
     *     OrderKind#SET_ROLE}
     */
    record OrderEngine(
            long orderId,
            String engine,
            OrderKind kind,
            String handle,
            AdapterVersion adapter,
            String weights,
            long fencing,
            String role)
            implements Effect {}

    /** Runs one attempt of a model request on an engine and relays its chunks to the origin. */
    record StartAttempt(
            long attemptId,
            String engine,
            String handle,
            String requestId,
            int attempt,
            String origin,
            byte[] body,
            boolean stream,
            AttemptLimits limits)
            implements Effect {}

    /**
     * Limits of one attempt.
     *
     * @param deadline time left until the deadline
     * @param idleTimeout longest allowed gap between two events of the answer
     * @param priority priority passed to the engine; lower is more urgent
     */
    record AttemptLimits(Duration deadline, Duration idleTimeout, int priority) {}

    /**
     * Reports the engine, adapter version and configuration that an attempt will use. It precedes
     * the attempt's {@link StartAttempt}. The program sends it to the origin as chunk number 0, so
     * that the caller's response headers are known before the answer is complete.
     */
    record DescribeAttempt(long attemptId, Provenance provenance) implements Effect {}

    /** Cancels an attempt at its engine. */
    record CancelAttempt(long attemptId) implements Effect {}

    /** Calls an application service. */
    record CallService(
            long callId,
            String upstream,
            String service,
            String operation,
            String key,
            byte[] body,
            String contentType,
            String requestId,
            Duration deadline)
            implements Effect {}

    /**
     * Looks up a once-only act, a service call that must not run twice, by its idempotency key at
     * the application service.
     */
    record LookupAct(long callId, String upstream, String service, String key, Duration deadline)
            implements Effect {}

    /**
     * Ends a caller's request.
     *
     * @param attempt attempt whose chunks make up the answer; 0 for service calls, and if the
     *     request ends without an attempt to report. If a successful answer names an attempt other
     *     than the one whose chunks the program has relayed, the program reports the answer as
     *     truncated.
     * @param chunks number of chunks that the caller must have received before a successful answer
     *     is complete; -1 for service calls, and for requests that are refused by the program or
     *     because the instance is not ready or is shutting down. Other refusals of model requests
     *     have 0 chunks.
     * @param body answer of an application service; null if there is none
     * @param retryAfter delay that the caller should wait before a retry; zero for none
     */
    record Answer(
            String requestId,
            int attempt,
            ResultCode code,
            Provenance provenance,
            long chunks,
            Input.ServiceAnswer body,
            Duration retryAfter,
            Duration loadStall,
            String detail)
            implements Effect {}

    /**
     * Stops relaying an attempt's chunks to the caller. Chunks that arrive later are dropped. If
     * chunks of the attempt have already been relayed, the core receives an {@link
     * Input.AnswerProgress} for it.
     */
    record AbandonAttempt(String requestId, int attempt) implements Effect {}

    /** Sets the readiness signal for the load balancer. */
    record SetReady(boolean ready, String reason) implements Effect {}

    /** The graceful shutdown has finished; the process may end. */
    record Drained() implements Effect {}

    /** Records a value of a metric. */
    record RecordMetric(CoreMetric metric, String label, double value) implements Effect {}
}
