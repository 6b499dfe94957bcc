package org.bronzehill.entry.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;

/**
 * Fields of a chat completion request on which routing depends.
 *
 * @param model name of the requested adapter
 * @param prefixHash hash of the first message
 */
record ChatBody(String model, boolean stream, int maxTokens, long prefixHash) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Estimate for a request without a limit, for which the engine applies its own limit. */
    private static final int DEFAULT_MAX_TOKENS = 1024;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    static Either<String, ChatBody> parse(byte[] body) {
        JsonNode root;
        try {
            root = MAPPER.readTree(body);
        } catch (IOException e) {
            return Either.left("the body is not JSON");
        }
        if (root == null || !root.isObject()) {
            return Either.left("the body is not a JSON object");
        }
        if (!root.path("model").isTextual()) {
            return Either.left("'model' must be a string");
        }
        if (!root.path("messages").isArray() || root.path("messages").isEmpty()) {
            return Either.left("'messages' must be a list that is not empty");
        }
        JsonNode stream = root.path("stream");
        if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
            return Either.left("'stream' must be true or false");
        }
        JsonNode limit =
                root.hasNonNull("max_completion_tokens")
                        ? root.path("max_completion_tokens")
                        : root.path("max_tokens");
        int maxTokens = limit.asInt(DEFAULT_MAX_TOKENS);
        if (maxTokens <= 0) {
            // The text is the same if the field at fault is max_completion_tokens.
            return Either.left("'max_tokens' must be a positive number");
        }
        return Either.right(
                new ChatBody(
                        root.path("model").asText(),
                        stream.asBoolean(),
                        maxTokens,
                        prefixHash(root.path("messages").get(0))));
    }

    /** Hashes the first message, usually the system prompt, which requests share as a prefix. */
    private static long prefixHash(JsonNode message) {
        long h = FNV_OFFSET;
        String text = message.path("content").asText(message.path("content").toString());
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * FNV_PRIME;
        }
        return h;
    }
}
