package org.bronzehill.core.node;

import java.util.Map;
import org.bronzehill.config.ConfigurationImage;
import org.bronzehill.core.model.CacheEvents;
import org.bronzehill.core.model.EngineReport;
import org.bronzehill.core.model.InstanceList;
import org.bronzehill.core.model.ModelRequest;
import org.bronzehill.core.model.ServiceRequest;
import org.bronzehill.protocol.generated.Envelope;

/** An event outside the decision core. */
public sealed interface Input {

    /** Time has passed; delivered every 50 ms. */
    record Tick() implements Input {}

    /** A peer's message arrived. */
    record PeerReceived(Envelope envelope) implements Input {}

    /** A message to the peer could not be written, or its connection broke. */
    record PeerUnreachable(String instance) implements Input {}

    /** The instance list was read. */
    record InstanceListRead(InstanceList list) implements Input {}

    /**
     * The configuration service answered with a configuration. Its content is divided into shards,
     * of which the answer may omit those that this instance already has.
     */
    record ConfigurationRead(ConfigurationImage image) implements Input {}

    /** The configuration service did not answer, or answered with an error. */
    record ConfigurationReadFailed(String reason) implements Input {}

    /** A caller sent a model request. */
    record ModelRequested(ModelRequest request) implements Input {}

    /** A caller sent a call to an application service. */
    record ServiceRequested(ServiceRequest request) implements Input {}

    /** The caller closed its connection before its answer was complete. */
    record CallerDisconnected(String requestId) implements Input {}

    /**
     * Chunks of the answer reached the origin. The program reports the first chunk, and later ones
     * at most every 500 ms.
     */
    record AnswerProgress(String requestId, int attempt, long chunks) implements Input {}

    /** An engine's report was read. */
    record EngineReported(EngineReport report) implements Input {}

    /** An engine's report could not be read. */
    record EngineReportFailed(String engine, String reason) implements Input {}

    /**
     * Changes of an engine's prefix cache were read. The program does not report failed reads to
     * the core.
     */
    record CacheEventsRead(CacheEvents events) implements Input {}

    /** An engine answered an order, or the order failed. */
    record OrderAnswered(long orderId, OrderOutcome outcome, long highestFencing)
            implements Input {}

    /** The first output of an attempt arrived. */
    record AttemptStarted(long attemptId) implements Input {}

    /** An attempt ended with a complete answer. */
    record AttemptFinished(long attemptId, long chunks, int tokens) implements Input {}

    /** An attempt failed after {@code chunks} chunks had been delivered. */
    record AttemptFailed(long attemptId, FailureReason reason, long chunks, String detail)
            implements Input {}

    /** An application service answered a call or a lookup. */
    record ServiceAnswered(long callId, ServiceAnswer answer) implements Input {}

    /** A call to an application service, or a lookup there, failed. */
    record ServiceFailed(long callId, FailureReason reason, String detail) implements Input {}

    /** An operator or the platform requested a graceful shutdown. */
    record DrainRequested() implements Input {}

    /** The answer of an application service. */
    record ServiceAnswer(
            int httpStatus, String contentType, byte[] body, Map<String, String> headers) {
        public ServiceAnswer {
            headers = Map.copyOf(headers);
        }
    }
}
