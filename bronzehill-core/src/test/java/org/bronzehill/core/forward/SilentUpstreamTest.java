package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import io.vavr.control.Option;
import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests upstreams that are silent for a second or so and then go on. */
public class SilentUpstreamTest {

    private static final Duration SILENCE = Duration.ofMillis(1500);

    private static ForwardRig rig() {
        return new ForwardRig(2, 4, Duration.ofMillis(250), 8);
    }

    private static void fillPlain(ForwardRig rig, int calls) {
        for (int i = 0; i < calls; i++) {
            rig.open(RequestKind.ONCE_ONLY, 1);
        }
    }

    @DataProvider
    public static Object[][] unrepeatable() {
        return new Object[][] {{RequestKind.ONCE_ONLY, false}, {RequestKind.STREAM, true}};
    }

    /** Guards against a request that is given up though it cannot be sent again. */
    @Test(dataProvider = "unrepeatable")
    public void unrepeatableRequestOutlastsASilence(RequestKind kind, boolean begun) {
        ForwardRig rig = rig();
        FakeTransport t = rig.open(kind, 2);
        if (begun) {
            t.call().onProgress();
        }
        rig.scheduler().advance(SILENCE.multipliedBy(2));
        assertEquals(t.attempts().size(), 1);
        assertEquals(t.cancelled(), 0);
        assertNull(t.refusedWith());
        assertNull(t.abortedWith());
    }

    /** Guards against an attempt that is cancelled when no other upstream has a place. */
    @Test
    public void requestStaysAtASilentUpstreamIfTheOthersAreFull() {
        ForwardRig rig = rig();
        FakeTransport t = rig.open(RequestKind.IDEMPOTENT, 2);
        fillPlain(rig, 7);
        rig.scheduler().advance(SILENCE);
        assertEquals(t.cancelled(), 0);
        assertEquals(t.attempts().size(), 1);
        assertNull(t.refusedWith());
    }

    /** Guards against a request that stays at an upstream that is gone for good. */
    @Test
    public void requestIsSentElsewhereAsSoonAsThereIsAPlace() {
        ForwardRig rig = rig();
        FakeTransport t = rig.open(RequestKind.IDEMPOTENT, 2);
        FakeTransport[] others = new FakeTransport[7];
        for (int i = 0; i < others.length; i++) {
            others[i] = rig.open(RequestKind.ONCE_ONLY, 1);
        }
        rig.scheduler().advance(SILENCE);
        String silent = t.last().upstream().id();
        for (FakeTransport other : others) {
            if (!other.last().upstream().id().equals(silent)) {
                other.call().onProgress();
                other.call().onComplete(200);
            }
        }
        rig.scheduler().advance(Duration.ofMillis(600));
        assertEquals(t.attempts().size(), 2);
        assertEquals(t.cancelled(), 1);
    }

    /** Guards against a stream that is refused because the silence has used up its wait. */
    @Test
    public void streamStaysAtASilentEngineIfTheOthersAreFull() {
        ForwardRig rig = rig();
        Option<AdapterRef> base = Option.of(new AdapterRef("m", ""));
        FakeTransport t = rig.open(RequestKind.RESUMABLE_STREAM, 2, base);
        FakeTransport other = rig.open(RequestKind.STREAM, 1, base);
        while (!other.attempts().isEmpty()) {
            other.call().onProgress();
            other = rig.open(RequestKind.STREAM, 1, base);
        }
        rig.scheduler().advance(SILENCE);
        assertEquals(t.cancelled(), 0);
        assertEquals(t.attempts().size(), 1);
        assertNull(t.refusedWith());
    }

    /**
     * Guards against a stream that is taken from a sound engine and broken off, because the other
     * one cannot continue it.
     */
    @Test
    public void streamThatHasBegunOutlastsASilenceOfASecondOrSo() {
        ForwardRig rig = rig();
        FakeTransport t =
                rig.open(RequestKind.RESUMABLE_STREAM, 2, Option.of(new AdapterRef("m", "")));
        t.call().onProgress();
        rig.scheduler().advance(Duration.ofMillis(1450));
        assertEquals(t.cancelled(), 0);
        assertEquals(t.attempts().size(), 1);
        rig.scheduler().advance(Duration.ofMillis(100));
        assertEquals(t.attempts().size(), 2);
    }

    /**
     * Guards against a stream that fails because the upstream that was tried in place of a silent
     * one turns it away.
     */
    @Test
    public void streamIsNotFailedWhenTheOtherEngineTurnsItAway() {
        ForwardRig rig = rig();
        Option<AdapterRef> base = Option.of(new AdapterRef("m", ""));
        FakeTransport t = rig.open(RequestKind.RESUMABLE_STREAM, 2, base);
        rig.scheduler().advance(SILENCE);
        assertEquals(t.attempts().size(), 2);
        t.call().onNotRun("status-503", NotRunCause.REFUSED);
        rig.scheduler().advance(Duration.ofMillis(100));
        assertNull(t.refusedWith());
        assertEquals(t.attempts().size(), 3);
    }

    /** Guards against a request that fails because a full upstream turns it away repeatedly. */
    @Test
    public void requestReturnsToTheSilentUpstreamWhenTheOtherTurnsItAway() {
        ForwardRig rig = rig();
        FakeTransport t = rig.open(RequestKind.IDEMPOTENT, 2);
        String silent = t.last().upstream().id();
        rig.scheduler().advance(SILENCE);
        assertEquals(t.attempts().size(), 2);
        for (int i = 0; i < 6 && !t.last().upstream().id().equals(silent); i++) {
            t.call().onNotRun("status-503", NotRunCause.REFUSED);
            rig.scheduler().advance(Duration.ofMillis(50));
        }
        assertNull(t.refusedWith());
        assertEquals(t.last().upstream().id(), silent);
        rig.scheduler().advance(SILENCE.multipliedBy(2));
        assertNull(t.refusedWith());
    }
}
