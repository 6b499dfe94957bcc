package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.result.RunState;
import org.testng.annotations.Test;

/** Tests the handling of failed attempts of a call. */
public class ForwardCallTest {

    private static ForwardRig rig() {
        return new ForwardRig(2, 4, Duration.ofMillis(250), 8);
    }

    /** Calls that may run at most once. */
    public static class OnceOnly {

        /**
         * Guards against a second run, and against a refusal which states that the request has not
         * run.
         */
        @Test
        public void isNeverSentAgainAfterItMayHaveRun() {
            FakeTransport t = rig().open(RequestKind.ONCE_ONLY, 2);
            t.call().onConnectionLost("reset");
            assertEquals(t.attempts().size(), 1);
            assertEquals(t.refusedWith().runState(), RunState.MAY_HAVE_RUN);
        }

        @Test
        public void isSentElsewhereIfUpstreamHasNotRunIt() {
            FakeTransport t = rig().open(RequestKind.ONCE_ONLY, 1);
            String first = t.last().upstream().id();
            t.call().onNotRun("status-503", NotRunCause.REFUSED);
            assertEquals(t.attempts().size(), 2);
            assertNotEquals(t.last().upstream().id(), first);
        }

        @Test
        public void isSentElsewhereIfNoConnectionOpens() {
            FakeTransport t = rig().open(RequestKind.ONCE_ONLY, 1);
            t.call().onUnreachable("connect-failed");
            assertEquals(t.attempts().size(), 2);
            assertNull(t.refusedWith());
        }

        /** Guards against the statement "not run" after an attempt that exceeded the deadline. */
        @Test
        public void deadlineAfterSendDoesNotStateNotRun() {
            ForwardRig rig = rig();
            FakeTransport t = rig.open(RequestKind.ONCE_ONLY, 1);
            rig.scheduler().advance(Duration.ofMillis(8300));
            assertEquals(t.refusedWith(), ResultCode.DEADLINE_PASSED);
            assertEquals(t.cancelled(), 1);
        }

        @Test
        public void failureOfTheUpstreamIsPassedOn() {
            FakeTransport t = rig().open(RequestKind.ONCE_ONLY, 2);
            assertTrue(t.call().onFailureAnswer(500));
            assertEquals(t.attempts().size(), 1);
        }
    }

    /** Calls that may run again. */
    public static class Idempotent {

        @Test
        public void isSentElsewhereAfterAFailure() {
            FakeTransport t = rig().open(RequestKind.IDEMPOTENT, 2);
            String first = t.last().upstream().id();
            assertEquals(t.call().onFailureAnswer(500), false);
            assertNotEquals(t.last().upstream().id(), first);
        }

        @Test
        public void attemptsAreBounded() {
            FakeTransport t = rig().open(RequestKind.IDEMPOTENT, 2);
            t.call().onConnectionLost("reset");
            t.call().onConnectionLost("reset");
            assertEquals(t.attempts().size(), 2);
            assertEquals(t.refusedWith(), ResultCode.UPSTREAM_FAILED);
        }

        /** Guards against waiting until the deadline for an upstream that does not answer. */
        @Test
        public void isSentElsewhereIfUpstreamIsSilent() {
            ForwardRig rig = rig();
            FakeTransport t = rig.open(RequestKind.IDEMPOTENT, 2);
            rig.scheduler().advance(Duration.ofMillis(400));
            assertEquals(t.attempts().size(), 2);
            assertEquals(t.cancelled(), 1);
        }
    }

    /** Streams that may continue at another engine. */
    public static class ResumableStream {

        @Test
        public void continuesElsewhereAfterConnectionLoss() {
            FakeTransport t = rig().open(RequestKind.RESUMABLE_STREAM, 2);
            t.call().onProgress();
            t.call().onConnectionLost("closed");
            assertEquals(t.attempts().size(), 2);
            assertNull(t.abortedWith());
        }

        /** Guards against two joined runs. */
        @Test
        public void isAbortedIfNoRunCanContinueIt() {
            FakeTransport t = rig().open(RequestKind.RESUMABLE_STREAM, 2);
            t.call().onProgress();
            t.setCanContinue(false);
            t.call().onConnectionLost("closed");
            assertEquals(t.attempts().size(), 1);
            assertEquals(t.abortedWith(), ResultCode.UPSTREAM_FAILED);
        }

        @Test
        public void otherStreamsAreAborted() {
            FakeTransport t = rig().open(RequestKind.STREAM, 2);
            t.call().onProgress();
            t.call().onConnectionLost("closed");
            assertEquals(t.attempts().size(), 1);
            assertEquals(t.abortedWith(), ResultCode.UPSTREAM_FAILED);
        }
    }

    @Test
    public void callerDisconnectCancelsTheAttempt() {
        ForwardRig rig = rig();
        FakeTransport t = rig.open(RequestKind.IDEMPOTENT, 2);
        t.call().onCallerDisconnected();
        assertEquals(t.cancelled(), 1);
        assertEquals(rig.forwarder().openCalls(), 0);
    }

    /**
     * Guards against orders and requests to a record whose address now belongs to another upstream.
     */
    @Test
    public void misaddressedUpstreamIsNotUsedAgain() {
        ForwardRig rig = rig();
        FakeTransport t = rig.open(RequestKind.ONCE_ONLY, 1);
        String old = t.last().upstream().id();
        t.call().onNotRun("other-instance-x", NotRunCause.MISADDRESSED);
        for (int i = 0; i < 3; i++) {
            assertNotEquals(rig.open(RequestKind.ONCE_ONLY, 1).last().upstream().id(), old);
        }
    }

    /** Guards against waiting until the deadline when no upstream is left. */
    @Test
    public void isRefusedAtOnceWithoutUpstreams() {
        ForwardRig rig = rig();
        rig.forwarder().onUpstreams(java.util.List.of());
        FakeTransport t = rig.open(RequestKind.ONCE_ONLY, 1);
        assertEquals(t.refusedWith(), ResultCode.NO_UPSTREAM);
        assertTrue(t.retryAfter().isDefined());
    }

    /** Guards against a request that keeps crashing the upstreams which run it. */
    @Test
    public void requestThatCrashedUpstreamsIsRefused() {
        ForwardRig rig = rig();
        FakeTransport t = rig.open(RequestKind.IDEMPOTENT, 2);
        for (int i = 0; i < 2; i++) {
            String id = t.last().upstream().id();
            t.call().onConnectionLost("reset");
            rig.forwarder().onUpstreamRemoved(id);
            rig.forwarder().onUpstream(ForwardRig.plain(id, 200 + i));
        }
        assertEquals(t.attempts().size(), 2);
        assertEquals(t.refusedWith(), ResultCode.UPSTREAM_FAILED);
    }

    @Test
    public void baseModelNeedsNoLoad() {
        ForwardRig rig = rig();
        FakeTransport t = rig.open(RequestKind.STREAM, 1, Option.of(new AdapterRef("m", "")));
        assertEquals(t.attempts().size(), 1);
    }

    private static List<FakeTransport> openAtOneEngine(ForwardRig rig, int number) {
        List<FakeTransport> calls = new ArrayList<>();
        for (int i = 0; i < number; i++) {
            calls.add(
                    rig.open(RequestKind.RESUMABLE_STREAM, 2, Option.of(new AdapterRef("m", ""))));
        }
        return calls;
    }

    /**
     * Several prompts arrive at one engine at once, which reads 2,000 tokens in half of the target
     * of 200 ms. Guards against prompts that are sent although the engine cannot read them in time,
     * and against requests that wait on after the engine has read others.
     */
    @Test
    public void promptsThatCannotBeReadInTimeAreNotSent() {
        ForwardRig rig = new ForwardRig(1, 4, Duration.ofMillis(250), 8);
        List<FakeTransport> calls = openAtOneEngine(rig, 6);
        assertEquals(sent(calls), 5);
        calls.get(0).call().onProgress();
        rig.scheduler().advance(Duration.ofMillis(30));
        assertEquals(sent(calls), 6);
    }

    /** Guards against requests that wait on when they can no longer meet their target. */
    @Test
    public void streamIsRefusedWhenItWouldMissItsTarget() {
        ForwardRig rig = new ForwardRig(1, 4, Duration.ofMillis(250), 8);
        FakeTransport last = openAtOneEngine(rig, 6).get(5);
        rig.scheduler().advance(Duration.ofMillis(130));
        assertEquals(last.refusedWith(), ResultCode.QUEUE_FULL);
        assertEquals(last.refusedWith().runState(), RunState.NOT_RUN);
        assertTrue(last.retryAfter().isDefined());
        assertTrue(last.attempts().isEmpty());
    }

    private static long sent(List<FakeTransport> calls) {
        return calls.stream().filter(c -> !c.attempts().isEmpty()).count();
    }

    /** Guards against a request that is sent although its caller disconnected while it waited. */
    @Test
    public void queuedRequestIsNotSentAfterCallerDisconnects() {
        ForwardRig rig = new ForwardRig(1, 4, Duration.ofMillis(250), 8);
        List<FakeTransport> calls = openAtOneEngine(rig, 6);
        calls.get(5).call().onCallerDisconnected();
        calls.subList(0, 5).forEach(c -> c.call().onProgress());
        rig.scheduler().advance(Duration.ofSeconds(1));
        assertTrue(calls.get(5).attempts().isEmpty());
    }

    /** Guards against requests for a plain service that wait for an adapter. */
    @Test
    public void plainServiceDoesNotWaitForNamedModel() {
        ForwardRig rig = new ForwardRig(1, 4, Duration.ofMillis(250), 8);
        FakeTransport t = rig.open(RequestKind.IDEMPOTENT, 1, Option.of(new AdapterRef("m", "a1")));
        assertEquals(t.attempts().size(), 1);
    }
}
