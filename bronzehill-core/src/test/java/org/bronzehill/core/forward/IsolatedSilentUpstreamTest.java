package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Tests an instance that can open no connection to any upstream, while its open ones live on and an
 * upstream on one of them is silent for a second or so.
 */
public class IsolatedSilentUpstreamTest {

    private static final Duration SILENCE = Duration.ofSeconds(2);
    private static final Duration STEP = Duration.ofMillis(50);

    /** Begins a stream, whose upstream is silent from then on, and isolates the instance. */
    private static FakeTransport beginAndIsolate(ForwardRig rig) {
        rig.join("i2");
        AdapterRef base = new AdapterRef("m", "");
        FakeTransport t = rig.open(RequestKind.RESUMABLE_STREAM, 2, Option.of(base));
        t.call().onAnswerBegun();
        t.call().onProgress();
        rig.engines().setConnectable(false);
        rig.open(RequestKind.IDEMPOTENT, 1).call().onUnreachable("refused");
        return t;
    }

    /** Lets time pass in which the other instance answers probes. */
    private static void pass(ForwardRig rig, Duration time) {
        for (long left = time.toMillis(); left > 0; left -= STEP.toMillis()) {
            rig.scheduler().advance(STEP);
            List.copyOf(rig.effects()).forEach(rig::answerProbe);
            rig.effects().clear();
        }
    }

    /** Guards against a sound stream that is broken off for an upstream that cannot be reached. */
    @Test
    public void streamStaysAtASilentUpstreamIfNoOtherCanBeReached() {
        ForwardRig rig = new ForwardRig(2, 4, Duration.ofMillis(250), 8);
        FakeTransport t = beginAndIsolate(rig);
        pass(rig, SILENCE);
        assertEquals(t.cancelled(), 0);
        assertEquals(t.attempts().size(), 1);
        assertNull(t.abortedWith());
    }

    /** Guards against a stream that stays though another connection works. */
    @Test
    public void streamIsContinuedOverAConnectionThatWorks() {
        ForwardRig rig = new ForwardRig(2, 4, Duration.ofMillis(250), 8);
        FakeTransport t = beginAndIsolate(rig);
        t.setConnected();
        pass(rig, SILENCE);
        assertEquals(t.cancelled(), 1);
        assertEquals(t.attempts().size(), 2);
    }
}
