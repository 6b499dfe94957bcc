package org.bronzehill.core.onceonly;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;

/**
 * A caller's request for a once-only act.
 *
 * @param key idempotency key chosen by the caller
 * @param team team of the caller
 * @param kind kind of request, by its name in the configuration
 * @param timeLeft time left until the caller's deadline
 */
public record ActRequest(
        String requestId,
        String key,
        String team,
        String kind,
        String service,
        String operation,
        ByteString body,
        String contentType,
        Duration timeLeft) {

    /** Returns the key that identifies the act at all instances and application runners. */
    public String scopedKey() {
        return team + ':' + key;
    }

    /** Returns a hash that reveals the reuse of a key for a different act. */
    public ByteString digest() {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update(service.getBytes(StandardCharsets.UTF_8));
            sha.update((byte) 0);
            sha.update(operation.getBytes(StandardCharsets.UTF_8));
            sha.update((byte) 0);
            sha.update(body.asReadOnlyByteBuffer());
            return ByteString.copyFrom(sha.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }
}
