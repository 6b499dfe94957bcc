package org.bronzehill.core.node;

import java.time.Duration;
import org.bronzehill.core.model.AdapterVersion;
import org.bronzehill.core.model.Provenance;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.protocol.generated.Envelope;

/** Something that the decision core asks its program to do. */
public sealed interface Effect {

    /**
     * Sends a message to a peer.
     *
     * @param fresh whether a new connection must be used, because the open one may be silent
     */
    record SendPeer(String instance, Envelope.Builder envelope, boolean newConnection)
            implements Effect {}

    /**
     * Reads or watches the configuration service.
     *
     * @param maxWait zero for a plain read; otherwise how long the service may hold the call
     */
    record ReadConfiguration(long haveNumber, Duration maxWait) implements Effect {}

    /** Reads the published instance list. */
    record ReadInstanceList(long haveVersion) implements Effect {}

    /** Reads the report of an engine. */
    record ReadEngineReport(String engine) implements Effect {}

    /** Reads the changes of an engine's prefix cache after a sequence number. */
    record ReadCacheEvents(String engine, long after) implements Effect {}

    /**
     * Gives an order to an engine.
     *
     * @param role target role; empty except for {@link OrderKind#SET_ROLE}
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
     * @param silence longest allowed gap between two events of the answer
     * @param priority priority passed to the engine; lower is more urgent
     */
    record AttemptLimits(Duration deadline, Duration idleTimeout, int priority) {}

    /**
     * Names what an attempt will run on; precedes its {@link StartAttempt}. The program sends it to
     * the origin as the first chunk, number 0, so that the caller's headers are known before the
     * answer is complete.
     */
    record DescribeAttempt(long attemptId, Provenance provenance) implements Effect {}

    /** Cancels an attempt at its engine. */
    record CancelAttempt(long attemptId) implements Effect {}

    /** Calls a plain service. */
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

    /** Looks up a once-only act by its key at the plain service. */
    record LookupAct(long callId, String upstream, String service, String key, Duration deadline)
            implements Effect {}

    /**
     * Ends a caller's request.
     *
     * @param attempt attempt whose chunks make up the answer; 0 if no attempt was made. If the
     *     caller received chunks of another attempt, the answer is truncated.
     * @param chunks number of chunks that the caller must have received; -1 if the body is given
     *     here
     * @param body answer of a plain service; empty for a model answer that was relayed in chunks
     * @param retryAfter zero if the code needs none
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
     * Stops the relay of an attempt's chunks to the caller. Chunks of it that arrive later are
     * dropped. If chunks of it have been relayed already, an {@link Input.AnswerProgress} tells.
     */
    record AbandonAttempt(String requestId, int attempt) implements Effect {}

    /** Raises or lowers the readiness signal for the balancer. */
    record SetReady(boolean ready, String reason) implements Effect {}

    /** The graceful shutdown has finished; the process may end. */
    record Drained() implements Effect {}

    /** Counts or times something for metrics; the program maps the name to a metric. */
    record RecordMetric(CoreMetric metric, String label, double value) implements Effect {}
}
