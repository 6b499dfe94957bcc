package org.bronzehill.entry.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.bronzehill.core.model.Provenance;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.result.ResultCode;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;

/** Tests the relay of chunks to callers: their sequence, attempt and number, and the end. */
public class SinkTableTest {

    private static final Provenance SOURCE = new Provenance("a-1", 3, 7, "engine-1", "entry-2");

    private final List<String> progress = new ArrayList<>();
    private final List<String> aborted = new ArrayList<>();
    private final List<RequestOutcome> outcomes = new ArrayList<>();
    private SinkTable sinks;

    @BeforeMethod
    public void open() {
        progress.clear();
        aborted.clear();
        outcomes.clear();
        sinks =
                SinkTable.create(
                        new RelayListener() {
                            @Override
                            public void onProgress(String requestId, int attempt, long chunks) {
                                progress.add(requestId + '/' + attempt);
                            }

                            @Override
                            public void onAborted(String requestId) {
                                aborted.add(requestId);
                            }

                            @Override
                            public void onEnded(RequestOutcome outcome) {
                                outcomes.add(outcome);
                            }
                        },
                        2);
    }

    private CompletableFuture<Reply> open(String id, boolean stream) {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        assertTrue(sinks.open(new RequestInfo(id, "chat", "a-1", 0), stream, reply));
        return reply;
    }

    private void chunk(String id, int attempt, long sequence) {
        byte[] data =
                sequence == 0
                        ? ProvenanceChunk.encode(SOURCE)
                        : ("{\"n\":" + attempt + sequence + "}").getBytes(StandardCharsets.UTF_8);
        sinks.chunk(id, attempt, sequence, data);
    }

    private void end(String id, int attempt, ResultCode code, long chunks) {
        sinks.answer(
                new Effect.Answer(
                        id, attempt, code, SOURCE, chunks, null, Duration.ZERO, Duration.ZERO, ""));
    }

    private static List<String> events(CompletableFuture<Reply> reply) {
        return Flux.from(reply.join().events()).map(Reply.StreamEvent::data).collectList().block();
    }

    /** Guards against a buffered answer that mixes the chunks of two attempts. */
    @Test
    public void buffersTheNextAttemptAfterAnAbandonedOne() {
        CompletableFuture<Reply> reply = open("q-1", false);
        chunk("q-1", 1, 0);
        chunk("q-1", 1, 1);
        sinks.abandon("q-1", 1);
        chunk("q-1", 1, 2);
        assertFalse(reply.isDone());
        chunk("q-1", 2, 0);
        chunk("q-1", 2, 1);
        end("q-1", 2, ResultCode.OK, 2);
        assertEquals(outcomes.get(0).code(), ResultCode.OK);
        assertEquals(new String(reply.join().body(), StandardCharsets.UTF_8), "{\"n\":21}");
    }

    /** Guards against a complete stream without [DONE], provenance or a recorded outcome. */
    @Test
    public void endsACompleteStreamWithDone() {
        CompletableFuture<Reply> reply = open("q-1", true);
        chunk("q-1", 1, 0);
        chunk("q-1", 1, 1);
        chunk("q-1", 1, 2);
        end("q-1", 1, ResultCode.OK, 3);
        assertEquals(events(reply), List.of("{\"n\":11}", "{\"n\":12}", "[DONE]"));
        assertEquals(reply.join().provenance(), SOURCE);
        assertEquals(outcomes.get(0).code(), ResultCode.OK);
        assertEquals(progress, List.of("q-1/1"));
        assertEquals(sinks.size(), 0);
    }

    /** Guards against a lost chunk that is not detected. */
    @Test
    public void truncatesOnAGap() {
        CompletableFuture<Reply> reply = open("q-1", true);
        chunk("q-1", 1, 0);
        chunk("q-1", 1, 1);
        chunk("q-1", 1, 3);
        end("q-1", 1, ResultCode.OK, 4);
        List<String> events = events(reply);
        assertEquals(events.size(), 2);
        assertTrue(events.get(1).contains("\"number\":5002"), events.get(1));
        assertEquals(outcomes.get(0).code(), ResultCode.TRUNCATED);
        assertEquals(outcomes.size(), 1);
        assertEquals(aborted, List.of("q-1"));
    }

    /** Guards against lost last chunks: all chunks are in sequence, but fewer than were sent. */
    @Test
    public void truncatesOnAWrongCount() {
        for (boolean stream : new boolean[] {true, false}) {
            CompletableFuture<Reply> reply = open("q-1", stream);
            chunk("q-1", 1, 0);
            chunk("q-1", 1, 1);
            end("q-1", 1, ResultCode.OK, 3);
            assertEquals(outcomes.remove(0).code(), ResultCode.TRUNCATED);
            if (stream) {
                assertFalse(events(reply).contains("[DONE]"));
            } else {
                assertEquals(reply.join().status(), ResultCode.TRUNCATED.httpStatus());
            }
        }
    }

    /** Guards against a stream that mixes the chunks of two concurrent attempts. */
    @Test
    public void relaysOneOfTwoConcurrentAttempts() {
        CompletableFuture<Reply> reply = open("q-1", true);
        chunk("q-1", 2, 0);
        chunk("q-1", 1, 0);
        chunk("q-1", 1, 1);
        chunk("q-1", 2, 1);
        end("q-1", 2, ResultCode.OK, 2);
        assertEquals(events(reply), List.of("{\"n\":21}", "[DONE]"));
    }

    /** Guards against relaying late chunks of an attempt that the core has abandoned. */
    @Test
    public void dropsChunksOfAnAbandonedAttempt() {
        CompletableFuture<Reply> reply = open("q-1", true);
        sinks.abandon("q-1", 1);
        chunk("q-1", 1, 0);
        assertTrue(progress.isEmpty());
        chunk("q-1", 2, 0);
        chunk("q-1", 2, 1);
        end("q-1", 2, ResultCode.OK, 2);
        assertEquals(events(reply), List.of("{\"n\":21}", "[DONE]"));
    }

    /** Guards against a success when the relayed chunks belong to another attempt than the end. */
    @Test
    public void truncatesWhenAnotherAttemptWasRelayed() {
        CompletableFuture<Reply> reply = open("q-1", true);
        chunk("q-1", 1, 0);
        chunk("q-1", 1, 1);
        end("q-1", 2, ResultCode.OK, 2);
        assertFalse(events(reply).contains("[DONE]"));
        assertEquals(outcomes.get(0).code(), ResultCode.TRUNCATED);
    }

    /** Guards against chunks that are relayed to the caller of another request. */
    @Test
    public void relaysChunksToTheirOwnRequest() {
        CompletableFuture<Reply> first = open("q-1", false);
        CompletableFuture<Reply> second = open("q-2", false);
        chunk("q-1", 1, 0);
        chunk("q-2", 1, 0);
        chunk("q-2", 1, 1);
        chunk("q-3", 1, 1);
        chunk("q-1", 1, 1);
        chunk("q-1", 1, 2);
        end("q-2", 1, ResultCode.OK, 2);
        end("q-1", 1, ResultCode.OK, 3);
        assertEquals(
                new String(first.join().body(), StandardCharsets.UTF_8), "{\"n\":11}{\"n\":12}");
        assertEquals(new String(second.join().body(), StandardCharsets.UTF_8), "{\"n\":11}");
    }

    /** Guards against exceeding the capacity, and against entries that are never freed. */
    @Test
    public void boundsTheNumberOfAnswers() {
        open("q-1", true);
        open("q-2", true);
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        assertFalse(sinks.open(new RequestInfo("q-3", "chat", "a-1", 0), true, reply));
        sinks.callerDisconnected("q-1");
        assertEquals(aborted, List.of("q-1"));
        open("q-3", true);
        assertEquals(sinks.size(), 2);
    }

    /** Guards against errors without number, run state, resend advice or Retry-After. */
    @Test
    public void describesARefusal() {
        CompletableFuture<Reply> reply = open("q-1", true);
        end("q-1", 0, ResultCode.QUEUE_FULL, 0);
        Reply refusal = reply.join();
        assertEquals(refusal.status(), 429);
        assertEquals(refusal.headers().get("Retry-After"), "1");
        String body = new String(refusal.body(), StandardCharsets.UTF_8);
        for (String part :
                List.of(
                        "\"number\":3002",
                        "\"run_state\":\"not_run\"",
                        "\"resend\":\"later\"",
                        "\"type\":\"rate_limit_error\"",
                        "\"request_id\":\"q-1\"")) {
            assertTrue(body.contains(part), body);
        }
    }
}
