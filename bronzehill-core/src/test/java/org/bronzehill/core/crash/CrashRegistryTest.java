package org.bronzehill.core.crash;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.ManualTimeSource;
import org.bronzehill.protocol.generated.Envelope;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the detection, across instances, of requests that crash upstreams. */
public class CrashRegistryTest {

    private final byte[] crashing = "culprit".getBytes(StandardCharsets.UTF_8);
    private final byte[] concurrent = "look-alike".getBytes(StandardCharsets.UTF_8);
    private ManualTimeSource time;
    private CrashRegistry a;
    private CrashRegistry b;

    @BeforeMethod
    public void createRegistries() {
        time = ManualTimeSource.startingAt(Instant.EPOCH);
        a = CrashRegistry.create("a", () -> List.of("b"), time);
        b = CrashRegistry.create("b", () -> List.of("a"), time);
    }

    private void deliver(CrashRegistry from, CrashRegistry to, Consumer<Effects> call) {
        List<Effect> effects = new ArrayList<>();
        call.accept(effects::add);
        for (Effect e : effects) {
            if (e instanceof Effect.SendPeer send) {
                to.onMessage(send.envelope().build(), x -> {});
            }
        }
    }

    @Test(description = "guards against instances that do not add up the crashes they count")
    public void countsOfDifferentInstancesAddUp() {
        deliver(a, b, out -> a.recordCrash(List.of(crashing), out));
        assertFalse(b.refuses(crashing));
        deliver(b, a, out -> b.recordCrash(List.of(crashing), out));

        assertTrue(a.refuses(crashing));
        assertTrue(b.refuses(crashing));
    }

    @Test(description = "guards against counting a repeated message as a further crash")
    public void repeatedMarksCountOnce() {
        deliver(a, b, out -> a.recordCrash(List.of(crashing), out));
        for (int i = 0; i < 3; i++) {
            time.advance(Duration.ofSeconds(6));
            deliver(a, b, a::onTick);
        }
        assertEquals(b.crashCount(crashing), 1);
    }

    @Test(description = "guards against refusing requests that only ran beside the crashing one")
    public void completionClearsTheMarkOnAllInstances() {
        deliver(a, b, out -> a.recordCrash(List.of(crashing, concurrent), out));
        deliver(b, a, out -> b.recordCompletion(concurrent, out));

        assertEquals(a.crashCount(concurrent), 0);
        assertEquals(a.crashCount(crashing), 1);
    }

    @Test(description = "guards against marks that never expire")
    public void marksExpire() {
        a.recordCrash(List.of(crashing), e -> {});
        a.recordCrash(List.of(crashing), e -> {});
        time.advance(CrashRegistry.RETENTION);

        assertFalse(a.refuses(crashing));
        a.onTick(e -> {});
        assertEquals(a.size(), 0);
    }

    @Test(description = "guards against a table that grows without bound")
    public void keepsABoundedNumberOfFingerprints() {
        for (int i = 0; i < CrashRegistry.MAX_FINGERPRINTS + 10; i++) {
            a.recordCrash(List.of(("f" + i).getBytes(StandardCharsets.UTF_8)), e -> {});
        }
        assertEquals(a.size(), CrashRegistry.MAX_FINGERPRINTS);
    }

    private Map<ByteString, Long> lostNow(byte[] fingerprint) {
        return Map.of(ByteString.copyFrom(fingerprint), time.nanoTime());
    }

    private static Envelope firstMessage(Consumer<Effects> call) {
        List<Effect> effects = new ArrayList<>();
        call.accept(effects::add);
        return effects.stream()
                .filter(Effect.SendPeer.class::isInstance)
                .map(e -> ((Effect.SendPeer) e).envelope().build())
                .findFirst()
                .orElseThrow();
    }

    @Test(description = "guards against one crash that counts once for each instance that saw it")
    public void crashSeenByTwoInstancesCountsOnce() {
        deliver(a, b, out -> a.recordCrash("c1", lostNow(crashing), out));
        deliver(b, a, out -> b.recordCrash("c1", lostNow(crashing), out));
        assertEquals(a.crashCount(crashing), 1);
        deliver(b, a, out -> b.recordCrash("c2", lostNow(crashing), out));

        assertTrue(a.refuses(crashing));
        assertTrue(b.refuses(crashing));
    }

    @Test(description = "guards against a mark that arrives after its clearing and stays for good")
    public void markThatArrivesAfterACompletionIsNotCounted() {
        Envelope late = firstMessage(out -> a.recordCrash("c1", lostNow(concurrent), out));
        time.advance(Duration.ofMillis(1));
        b.recordCompletion(concurrent, e -> {});
        Envelope objection = firstMessage(out -> b.onMessage(late, out));

        assertEquals(b.crashCount(concurrent), 0);
        a.onMessage(objection, e -> {});
        assertEquals(a.crashCount(concurrent), 0);
    }

    @Test(description = "guards against a completion that hides the crashes long after it")
    public void completionDoesNotClearLaterCrashes() {
        a.recordCompletion(crashing, e -> {});
        time.advance(Duration.ofSeconds(2));
        Envelope mark = firstMessage(out -> a.recordCrash("c1", lostNow(crashing), out));
        deliver(b, a, out -> b.onMessage(mark, out));

        assertEquals(a.crashCount(crashing), 1);
        assertEquals(b.crashCount(crashing), 1);
    }

    @Test(description = "guards against trials at more than one instance, or at equal intervals")
    public void trialsAreSentByOneInstanceAtGrowingIntervals() {
        for (String crash : List.of("c1", "c2")) {
            deliver(a, b, out -> a.recordCrash(crash, lostNow(crashing), out));
        }
        List<Long> trials = new ArrayList<>();
        for (int second = 1; second <= 100; second++) {
            time.advance(Duration.ofSeconds(1));
            for (CrashRegistry registry : List.of(a, b)) {
                if (registry.isTrialDue(crashing)) {
                    registry.onTrial(crashing);
                    trials.add((long) second);
                }
            }
        }
        assertEquals(trials, List.of(2L, 10L, 42L));
    }
}
