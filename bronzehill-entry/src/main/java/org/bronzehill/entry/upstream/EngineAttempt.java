package org.bronzehill.entry.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.FailureReason;
import org.bronzehill.core.node.Input;

/**
 * Handles an engine's response to one attempt: relays it to the origin of the request and reports
 * the outcome to the core.
 */
final class EngineAttempt implements HttpListener {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_ERROR_BODY_BYTES = 4096;
    private static final String DONE_MARKER = "[DONE]";

    private final Effect.StartAttempt startEffect;
    private final byte[] provenanceChunk;
    private final ChunkTarget target;
    private final InputSink inputs;
    private final ServerSentEventParser events = new ServerSentEventParser(this::onEvent);
    private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
    private HttpExchange exchange;
    private int status;
    private long sentChunks;
    private int receivedEvents;
    private boolean doneReceived;
    private boolean ended;

    EngineAttempt(
            Effect.StartAttempt startEffect,
            byte[] provenanceChunk,
            ChunkTarget target,
            InputSink inputs) {
        this.startEffect = startEffect;
        this.provenanceChunk = provenanceChunk;
        this.target = target;
        this.inputs = inputs;
    }

    void bind(HttpExchange newExchange) {
        exchange = newExchange;
    }

    @Override
    public void onHead(int newStatus, Map<String, String> headers) {
        status = newStatus;
    }

    @Override
    public void onData(byte[] data) {
        if (ended) {
            return;
        }
        if (status != 200) {
            if (errorBody.size() < MAX_ERROR_BODY_BYTES) {
                errorBody.write(
                        data, 0, Math.min(data.length, MAX_ERROR_BODY_BYTES - errorBody.size()));
            }
        } else if (startEffect.stream()) {
            if (!events.parse(data)) {
                fail(FailureReason.BROKEN, "an event exceeds the size bound");
            }
        } else {
            relay(data);
        }
    }

    private void onEvent(byte[] data) {
        if (ended || doneReceived) {
            return;
        }
        if (data.length == DONE_MARKER.length()
                && DONE_MARKER.equals(new String(data, StandardCharsets.US_ASCII))) {
            doneReceived = true;
        } else {
            receivedEvents++;
            relay(data);
        }
    }

    private void relay(byte[] data) {
        if (sentChunks == 0) {
            send(provenanceChunk);
            inputs.accept(new Input.AttemptStarted(startEffect.attemptId()));
        }
        send(data);
    }

    private void send(byte[] data) {
        if (!ended && target.sendChunk(sentChunks, data)) {
            sentChunks++;
        } else {
            // The queue of the link to the origin is full, or the origin's address is unknown.
            fail(FailureReason.BROKEN, "the origin takes no more chunks");
        }
    }

    @Override
    public void onComplete() {
        if (ended) {
            return;
        }
        if (status != 200) {
            fail(
                    reasonOfStatus(),
                    "status " + status + ": " + errorBody.toString(StandardCharsets.UTF_8));
        } else if (startEffect.stream() && !doneReceived) {
            fail(FailureReason.BROKEN, "the stream ended without [DONE]");
        } else {
            ended = true;
            inputs.accept(
                    new Input.AttemptFinished(startEffect.attemptId(), sentChunks, receivedEvents));
        }
    }

    private FailureReason reasonOfStatus() {
        if (status == 404 && "unknown_handle".equals(errorCode())) {
            return FailureReason.REFUSED;
        }
        // Only if the handle, the name under which an adapter is loaded, is unknown do engines
        // guarantee that the request was not run. With any other 4xx answer except 429, the engine
        // has rejected the content of the request; after any other status, it may have run.
        boolean rejected = status >= 400 && status < 500 && status != 429;
        return rejected ? FailureReason.REJECTED : FailureReason.BROKEN;
    }

    /**
     * Returns the error code, which is either a field of the root object or in the error object of
     * the OpenAI format.
     */
    private String errorCode() {
        try {
            JsonNode root = MAPPER.readTree(errorBody.toByteArray());
            JsonNode errorNode = root.path("error");
            return errorNode.isObject()
                    ? errorNode.path("code").asText()
                    : errorNode.asText(rootCode(root));
        } catch (IOException e) {
            return "";
        }
    }

    private static String rootCode(JsonNode root) {
        return root.path("code").asText();
    }

    private void fail(FailureReason reason, String detail) {
        if (!ended) {
            ended = true;
            inputs.accept(
                    new Input.AttemptFailed(startEffect.attemptId(), reason, sentChunks, detail));
            if (exchange != null) {
                exchange.cancel();
            }
        }
    }

    @Override
    public void onFailure(FailureReason reason, String detail) {
        fail(reason, detail);
    }
}
