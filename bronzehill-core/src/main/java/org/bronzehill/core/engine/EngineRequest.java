package org.bronzehill.core.engine;

import java.time.Duration;
import org.bronzehill.protocol.generated.Dispatch;

/**
 * A model request sent to the holder of an engine's lease.
 *
 * @param attempt number of this attempt at the request
 * @param origin entry instance that received the request from its caller
 * @param team name of the caller's team
 * @param caller name of the caller within its team
 * @param deadline time left until the caller's deadline when the request reached the holder
 * @param fingerprint SHA-256 of kind, adapter and body
 * @param finalHop whether the request must not be redirected to another engine
 */
public record EngineRequest(
        String requestId,
        int attempt,
        String origin,
        String team,
        String caller,
        String kind,
        String adapter,
        byte[] body,
        boolean stream,
        Duration deadline,
        byte[] fingerprint,
        long prefixHash,
        boolean finalHop,
        int maxTokens) {

    /** Returns the request contained in a message from the entry instance {@code origin}. */
    public static EngineRequest of(String origin, Dispatch message) {
        return new EngineRequest(
                message.getRequestId(),
                message.getAttempt(),
                origin,
                message.getMember(),
                message.getCaller(),
                message.getKind(),
                message.getAdapter(),
                message.getBody().toByteArray(),
                message.getStream(),
                Duration.ofMillis(message.getDeadlineMs()),
                message.getFingerprint().toByteArray(),
                message.getPrefixHash(),
                message.getFinalHop(),
                message.getMaxTokens());
    }
}
