package org.bronzehill.standin.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.Map;

/** Request in the queue or batch of an engine. The engine synchronizes all access. */
final class EngineRequest {

    static final Comparator<EngineRequest> BY_PRIORITY =
            Comparator.comparingLong((EngineRequest r) -> r.priority)
                    .thenComparingLong(r -> r.sequence);

    private static final int DEFAULT_MAX_TOKENS = 16;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    final Exchange exchange;
    final String requestId;
    final String handle;
    final long prefixHash;
    final int promptLength;
    private final long priority;
    private final long sequence;
    private final boolean stream;
    private final int maxTokens;
    private final String prompt;
    private final String promptChecksum;
    private int producedTokens;
    private double firstTokenAtMs;

    private EngineRequest(Exchange exchange, long sequence) {
        JsonNode body = exchange.json();
        this.exchange = exchange;
        this.sequence = sequence;
        this.requestId = exchange.header("X-Request-Id");
        this.handle = body.path("model").asText();
        this.priority = body.path("priority").asLong(0);
        this.stream = body.path("stream").asBoolean(false);
        this.maxTokens = Math.max(1, body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS));
        this.prompt = lastContent(body);
        this.promptChecksum = AnswerText.checksum(prompt);
        this.prefixHash = prefixHash(body.path("messages").path(0).path("content").asText());
        this.promptLength = body.path("messages").toString().length();
    }

    static EngineRequest of(Exchange exchange, long sequence) {
        return new EngineRequest(exchange, sequence);
    }

    /** Returns the FNV-1a hash of the characters, by which entry instances identify a prefix. */
    private static long prefixHash(String text) {
        long h = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * FNV_PRIME;
        }
        return h;
    }

    private static String lastContent(JsonNode body) {
        JsonNode messages = body.path("messages");
        return messages.path(messages.size() - 1).path("content").asText();
    }

    void enterBatch(double firstTokenAt) {
        firstTokenAtMs = firstTokenAt;
    }

    int producedTokens() {
        return producedTokens;
    }

    /** Produces one token once the prefill has ended; returns whether the answer is complete. */
    boolean step(double nowMs) {
        if (nowMs < firstTokenAtMs) {
            return false;
        }
        if (stream && producedTokens == 0) {
            exchange.startEvents();
        }
        if (stream) {
            boolean last = producedTokens == maxTokens - 1;
            exchange.event(
                    chunk(AnswerText.token(promptChecksum, producedTokens), last).toString());
        }
        producedTokens++;
        return producedTokens >= maxTokens;
    }

    /** Ends a streamed answer, or sends the complete answer of a request without streaming. */
    void finish() {
        if (stream) {
            exchange.event("[DONE]");
            exchange.endEvents();
        } else {
            exchange.respond(200, completion());
        }
    }

    /** Fails the request; a stream that has started is aborted. */
    void abort(String code) {
        if (stream && producedTokens > 0) {
            exchange.abort();
        } else {
            exchange.error(500, code);
        }
    }

    private ObjectNode chunk(String text, boolean last) {
        ObjectNode chunk = base("chat.completion.chunk");
        ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
        choice.putObject("delta").put("content", text);
        choice.put("finish_reason", last ? "stop" : null);
        if (last) {
            chunk.set("usage", usage());
        }
        return chunk;
    }

    private ObjectNode completion() {
        String text = AnswerText.of(prompt, maxTokens);
        ObjectNode completion = base("chat.completion");
        ObjectNode choice = completion.putArray("choices").addObject().put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", text);
        choice.put("finish_reason", "stop");
        completion.set("usage", usage());
        return completion;
    }

    private ObjectNode base(String object) {
        return Json.object()
                .put("id", "chatcmpl-" + requestId)
                .put("object", object)
                .put("model", handle);
    }

    private JsonNode usage() {
        int prompt = promptLength / 4;
        return Json.tree(
                Map.of(
                        "prompt_tokens", prompt,
                        "completion_tokens", maxTokens,
                        "total_tokens", prompt + maxTokens));
    }
}
