package org.bronzehill.core.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bronzehill.config.ImageCodec;
import org.bronzehill.core.model.ModelRequest;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.result.RunState;
import org.bronzehill.protocol.generated.Dispatch;
import org.bronzehill.protocol.generated.DispatchEnd;
import org.bronzehill.protocol.generated.Envelope;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Model requests from arrival to answer, with the engine leased by the origin or by a peer. */
public class ModelRequestsTest {

    /** Guards against an answer without the attempt, version and configuration that produced it. */
    @Test
    public void answerReportsItsProvenance() {
        CoreRig rig = CoreRig.ready(1, 1);
        rig.submit("entry-1", CoreRig.chat("q-1"));
        rig.run(Duration.ofSeconds(1));
        rig.finish(rig.lastAttempt(), 5);
        Effect.Answer answer = rig.answers.get(0);
        assertEquals(answer.code(), ResultCode.OK);
        assertEquals(answer.attempt(), 1);
        assertEquals(answer.chunks(), 5);
        assertEquals(answer.provenance().adapter(), "a-1");
        assertEquals(answer.provenance().version(), 1);
        assertEquals(answer.provenance().configurationNumber(), 1);
        assertEquals(answer.provenance().upstream(), "engine-1");
        assertEquals(answer.provenance().entry(), "entry-1");
    }

    /** Guards against engines that only the callers of the lease holder can use. */
    @Test
    public void routesToEngineLeasedByPeer() {
        CoreRig rig = CoreRig.ready(2, 1);
        String holder = rig.holderSeenBy("entry-1", "engine-1");
        String origin = holder.equals("entry-1") ? "entry-2" : "entry-1";
        rig.submit(origin, CoreRig.chat("q-1"));
        rig.run(Duration.ofSeconds(1));
        Effect.StartAttempt attempt = rig.lastAttempt();
        assertEquals(rig.holderOf(attempt), holder);
        assertEquals(attempt.origin(), origin);
        rig.finish(attempt, 7);
        assertEquals(rig.answers.size(), 1);
        assertEquals(rig.answers.get(0).code(), ResultCode.OK);
        assertEquals(rig.answers.get(0).chunks(), 7);
        assertEquals(rig.answers.get(0).provenance().entry(), origin);
    }

    /** Guards against a second answer when the result of an attempt is delivered twice. */
    @Test
    public void answersOnceWhenTheEndArrivesTwice() {
        CoreRig rig = CoreRig.ready(1, 1);
        rig.submit("entry-1", CoreRig.chat("q-1"));
        rig.run(Duration.ofSeconds(1));
        rig.finish(rig.lastAttempt(), 5);
        rig.feed("entry-1", end("q-1", 1, ResultCode.OK, 5));
        assertEquals(rig.answers.size(), 1);
    }

    private static Input end(String id, int attempt, ResultCode code, long chunks) {
        return new Input.PeerReceived(
                Envelope.newBuilder()
                        .setFrom("entry-2")
                        .setDispatchEnd(
                                DispatchEnd.newBuilder()
                                        .setRequestId(id)
                                        .setAttempt(attempt)
                                        .setResultCode(code.number())
                                        .setChunks(chunks))
                        .build());
    }

    /** Guards against applying the late result of a failed attempt to the next attempt. */
    @Test
    public void ignoresTheLateEndOfAnEarlierAttempt() {
        CoreRig rig = CoreRig.ready(1, 2);
        rig.submit("entry-1", CoreRig.chat("q-1"));
        rig.run(Duration.ofSeconds(1));
        Effect.StartAttempt first = rig.lastAttempt();
        rig.fail(first, FailureReason.BROKEN, 0);
        rig.run(Duration.ofSeconds(1));
        Effect.StartAttempt second = rig.lastAttempt();
        assertNotEquals(second.attempt(), first.attempt());
        rig.feed("entry-1", end("q-1", first.attempt(), ResultCode.OK, 3));
        assertTrue(rig.answers.isEmpty());
        rig.finish(second, 4);
        assertEquals(rig.answers.size(), 1);
        assertEquals(rig.answers.get(0).attempt(), second.attempt());
        assertTrue(rig.otherEffects.contains(new Effect.AbandonAttempt("q-1", first.attempt())));
    }

    /** Guards against mixing up the answers of two requests that end in reverse order. */
    @Test
    public void keepsInterleavedAnswersSeparate() {
        CoreRig rig = CoreRig.ready(1, 1);
        rig.submit("entry-1", CoreRig.chat("q-1"));
        rig.submit("entry-1", CoreRig.chat("q-2"));
        rig.run(Duration.ofSeconds(1));
        List<Effect.StartAttempt> both = List.copyOf(rig.attempts);
        assertEquals(both.size(), 2);
        rig.finish(both.get(1), 9);
        rig.finish(both.get(0), 4);
        for (Effect.Answer a : rig.answers) {
            boolean first = a.requestId().equals(both.get(0).requestId());
            assertEquals(a.chunks(), first ? 4 : 9);
        }
        assertEquals(rig.answers.size(), 2);
    }

    /** Guards against a retry that mixes the chunks of two attempts in one answer. */
    @Test
    public void doesNotRetryOnceChunksWereDelivered() {
        CoreRig rig = CoreRig.ready(1, 2);
        rig.submit("entry-1", CoreRig.chat("q-1"));
        rig.run(Duration.ofSeconds(1));
        Effect.StartAttempt a = rig.lastAttempt();
        rig.feed("entry-1", new Input.AnswerProgress("q-1", a.attempt(), 1));
        rig.fail(a, FailureReason.BROKEN, 3);
        assertEquals(rig.answers.size(), 1);
        assertEquals(rig.answers.get(0).code().runState(), RunState.MAY_HAVE_RUN);
        assertEquals(rig.attempts.size(), 1);
    }

    /**
     * Guards against reporting a failure where a retry is possible: a caller that does not stream
     * has received nothing when the attempt fails.
     */
    @Test
    public void retriesACollectedAnswerThatBreaksAfterItsFirstChunk() {
        CoreRig rig = CoreRig.ready(1, 2);
        rig.submit("entry-1", CoreRig.collected("q-1"));
        rig.run(Duration.ofSeconds(1));
        Effect.StartAttempt first = rig.lastAttempt();
        rig.feed("entry-1", new Input.AnswerProgress("q-1", first.attempt(), 1));
        rig.fail(first, FailureReason.BROKEN, 3);
        rig.run(Duration.ofSeconds(1));
        Effect.StartAttempt second = rig.lastAttempt();
        assertNotEquals(second.attempt(), first.attempt());
        rig.feed("entry-1", new Input.AnswerProgress("q-1", first.attempt(), 2));
        assertTrue(rig.answers.isEmpty());
        rig.finish(second, 4);
        assertEquals(rig.answers.get(0).code(), ResultCode.OK);
        assertEquals(rig.answers.get(0).attempt(), second.attempt());
    }

    /**
     * Guards against presenting the relayed chunks of an abandoned attempt as a complete answer.
     */
    @Test
    public void truncatesWhenAnAbandonedAttemptReachedTheCaller() {
        CoreRig rig = CoreRig.ready(1, 2);
        rig.submit("entry-1", CoreRig.chat("q-1"));
        rig.run(Duration.ofSeconds(1));
        Effect.StartAttempt first = rig.lastAttempt();
        rig.fail(first, FailureReason.BROKEN, 0);
        rig.feed("entry-1", new Input.AnswerProgress("q-1", first.attempt(), 1));
        assertEquals(rig.answers.get(0).code(), ResultCode.TRUNCATED);
    }

    /** Guards against reporting "not run" when an earlier attempt may have run. */
    @Test
    public void doesNotClaimNotRunAfterAnAttemptThatMayHaveRun() {
        CoreRig rig = CoreRig.ready(1, 2);
        rig.submit("entry-1", CoreRig.chat("q-1"));
        for (int i = 0; i < 6 && rig.answers.isEmpty(); i++) {
            rig.run(Duration.ofSeconds(1));
            FailureReason reason = i == 0 ? FailureReason.SILENT : FailureReason.NOT_SENT;
            if (rig.answers.isEmpty()) {
                rig.fail(rig.lastAttempt(), reason, 0);
            }
        }
        rig.run(Duration.ofSeconds(20));
        assertEquals(rig.answers.size(), 1);
        assertNotEquals(rig.answers.get(0).code().runState(), RunState.NOT_RUN);
    }

    /** Guards against a second attempt for a request kind that is not repeatable. */
    @Test
    public void doesNotRepeatAnUnrepeatableKind() {
        CoreRig rig = CoreRig.ready(1, 2);
        rig.submit("entry-1", CoreRig.request("q-1", "single", "a-1", CoreRig.TOKEN, null));
        rig.run(Duration.ofSeconds(1));
        rig.fail(rig.lastAttempt(), FailureReason.SILENT, 0);
        rig.run(Duration.ofSeconds(1));
        assertEquals(rig.attempts.size(), 1);
        assertEquals(rig.answers.get(0).code().runState(), RunState.MAY_HAVE_RUN);
    }

    /** Guards against using the adapter version of the arrival after a newer configuration came. */
    @Test
    public void resolvesTheVersionAtDispatchWhenTheNumberMoves() {
        CoreRig rig = CoreRig.ready(1, 1);
        rig.answerLoadsAtOnce = false;
        rig.submit("entry-1", CoreRig.chat("q-1"));
        rig.run(Duration.ofMillis(500));
        assertTrue(rig.attempts.isEmpty());
        rig.configuration = CoreRig.configuration(2, 2);
        rig.feed("entry-1", new Input.ConfigurationRead(ImageCodec.encode(rig.configuration)));
        rig.answerLoads();
        rig.run(Duration.ofSeconds(2));
        Effect.StartAttempt a = rig.lastAttempt();
        assertTrue(a.handle().startsWith("a-1@2#"), a.handle());
        rig.finish(a, 2);
        assertEquals(rig.answers.get(0).provenance().version(), 2);
        assertEquals(rig.answers.get(0).provenance().configurationNumber(), 2);
    }

    /** Guards against a holder that runs a forwarded request under an older configuration. */
    @Test
    public void holderWithOlderConfigurationCatchesUpFirst() {
        CoreRig rig = CoreRig.ready(2, 1);
        String holder = rig.holderSeenBy("entry-1", "engine-1");
        String origin = holder.equals("entry-1") ? "entry-2" : "entry-1";
        rig.configuration = CoreRig.configuration(2, 2);
        rig.feed(origin, new Input.ConfigurationRead(ImageCodec.encode(rig.configuration)));
        rig.submit(origin, CoreRig.chat("q-1"));
        rig.run(Duration.ofSeconds(2));
        assertEquals(rig.cores.get(holder).configuration().number(), 2);
        assertEquals(rig.attempts.size(), 1);
        assertTrue(rig.lastAttempt().handle().startsWith("a-1@2#"));
    }

    @DataProvider
    public static Object[][] badRequests() {
        Duration second = Duration.ofSeconds(1);
        return new Object[][] {
            {"chat", "a-1", "wrong", null, ResultCode.UNAUTHENTICATED},
            {"chat", "a-1", "", null, ResultCode.UNAUTHENTICATED},
            {"none", "a-1", CoreRig.TOKEN, null, ResultCode.UNKNOWN_KIND},
            {"chat", "a-9", CoreRig.TOKEN, null, ResultCode.UNKNOWN_ADAPTER},
            {"chat", "a-2", CoreRig.TOKEN, null, ResultCode.NOT_ENTITLED},
            {"lookup", "a-1", CoreRig.TOKEN, null, ResultCode.NOT_ENTITLED},
            {"chat", "a-1", CoreRig.TOKEN, second.multipliedBy(99), ResultCode.BAD_DEADLINE},
            {"chat", "a-1", CoreRig.TOKEN, Duration.ZERO, ResultCode.BAD_DEADLINE},
        };
    }

    /** Guards against state, loads or messages that remain after a refused request. */
    @Test(dataProvider = "badRequests")
    public void rejectedRequestLeavesNoState(
            String kind, String adapter, String token, Duration budget, ResultCode expected) {
        CoreRig rig = CoreRig.ready(2, 1);
        ModelRequest request = CoreRig.request("q-1", kind, adapter, token, budget);
        rig.submit("entry-1", request);
        rig.run(Duration.ofSeconds(1));
        assertEquals(rig.answers.get(0).code(), expected);
        assertEquals(rig.answers.get(0).code().runState(), RunState.NOT_RUN);
        assertEquals(rig.cores.get("entry-1").status().counts().openRequests(), 0);
        assertEquals(rig.cores.get("entry-2").status().counts().dispatched(), 0);
        assertTrue(rig.attempts.isEmpty());
        assertEquals(rig.envelopeCounts.getOrDefault("DISPATCH", 0), Integer.valueOf(0));
    }

    /**
     * Guards against a request without an end, and against an attempt that outlives its request.
     */
    @Test
    public void cancelsTheAttemptAtTheDeadline() {
        CoreRig rig = CoreRig.ready(1, 1);
        Duration budget = Duration.ofSeconds(3);
        rig.submit("entry-1", CoreRig.request("q-1", "single", "a-1", CoreRig.TOKEN, budget));
        rig.run(Duration.ofSeconds(1));
        assertEquals(rig.attempts.size(), 1);
        rig.run(Duration.ofSeconds(3));
        assertEquals(rig.answers.get(0).code(), ResultCode.DEADLINE_PASSED);
        assertTrue(rig.otherEffects.stream().anyMatch(e -> e instanceof Effect.CancelAttempt));
    }

    /** Guards against an engine that keeps generating for a caller that has disconnected. */
    @Test
    public void cancelsTheAttemptOfADisconnectedCaller() {
        CoreRig rig = CoreRig.ready(1, 1);
        rig.submit("entry-1", CoreRig.chat("q-1"));
        rig.run(Duration.ofSeconds(1));
        rig.feed("entry-1", new Input.CallerDisconnected("q-1"));
        assertEquals(rig.cores.get("entry-1").status().counts().openRequests(), 0);
        assertTrue(rig.otherEffects.stream().anyMatch(e -> e instanceof Effect.CancelAttempt));
    }

    /** Guards against a stream that stalls without an error after its first chunks. */
    @Test
    public void endsAnAnswerThatMakesNoProgress() {
        CoreRig rig = CoreRig.ready(2, 1);
        String holder = rig.holderSeenBy("entry-1", "engine-1");
        String origin = holder.equals("entry-1") ? "entry-2" : "entry-1";
        rig.submit(origin, CoreRig.chat("q-1"));
        rig.run(Duration.ofSeconds(1));
        Effect.StartAttempt a = rig.lastAttempt();
        rig.feed(origin, new Input.AnswerProgress("q-1", a.attempt(), 1));
        rig.dropMessage = e -> e.hasDispatchEnd();
        rig.run(Duration.ofSeconds(7));
        assertEquals(rig.answers.get(0).code(), ResultCode.SILENT_CONNECTION);
    }

    /** Guards against a request that is redirected between engines without end. */
    @Test
    public void followsOneRedirect() {
        CoreRig rig = CoreRig.ready(2, 2);
        List<Dispatch> sent = new ArrayList<>();
        rig.dropMessage =
                e -> {
                    if (e.hasDispatch()) {
                        sent.add(e.getDispatch());
                    }
                    return e.hasDispatch();
                };
        String holder = rig.holderSeenBy("entry-1", "engine-1");
        if (!holder.equals(rig.holderSeenBy("entry-1", "engine-2"))) {
            holder = "entry-2";
        }
        String origin = holder.equals("entry-1") ? "entry-2" : "entry-1";
        for (int i = 0; i < 4 && sent.isEmpty(); i++) {
            rig.submit(origin, CoreRig.chat("q-" + i));
        }
        Dispatch first = sent.get(0);
        assertFalse(first.getFinalHop());
        String other = first.getEngine().equals("engine-1") ? "engine-2" : "engine-1";
        DispatchEnd.Builder redirect =
                DispatchEnd.newBuilder()
                        .setRequestId(first.getRequestId())
                        .setAttempt(first.getAttempt())
                        .setResultCode(ResultCode.REDIRECT.number())
                        .setRedirectTo(other);
        rig.feed(
                origin,
                new Input.PeerReceived(
                        Envelope.newBuilder().setFrom(holder).setDispatchEnd(redirect).build()));
        boolean followed =
                sent.stream()
                                .anyMatch(
                                        d ->
                                                d.getRequestId().equals(first.getRequestId())
                                                        && d.getEngine().equals(other)
                                                        && d.getFinalHop())
                        || rig.attempts.stream()
                                .anyMatch(
                                        a ->
                                                a.requestId().equals(first.getRequestId())
                                                        && a.engine().equals(other));
        assertTrue(followed, sent.toString());
    }
}
