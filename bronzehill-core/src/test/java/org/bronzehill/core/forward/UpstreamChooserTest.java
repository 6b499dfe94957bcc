package org.bronzehill.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.bronzehill.core.time.ManualTimeSource;
import org.testng.annotations.Test;

/** Tests the choice of an engine by what is known of its adapters and its load. */
public class UpstreamChooserTest {

    private static final AdapterRef ADAPTER = ForwardRig.adapter(1);

    private final ManualTimeSource time =
            ManualTimeSource.startingAt(Instant.parse("2026-12-04T06:00:00Z"));
    private final PromptReadTime readTime = new PromptReadTime();
    private final AdapterWaitModel waitModel = new AdapterWaitModel(Duration.ofMillis(250));

    private UpstreamState engine(String id, Set<String> models) {
        UpstreamRecord listed = ForwardRig.engine(id, false);
        UpstreamState u = new UpstreamState(listed, time);
        u.setModels(models);
        return u;
    }

    private Option<UpstreamChooser.Choice> choose(Duration age, UpstreamState... engines) {
        Route route = ForwardRig.route(RequestKind.STREAM, 1);
        ForwardRequest request =
                new ForwardRequest(
                        "q",
                        route,
                        route.serviceAt(0),
                        time.nanoTime(),
                        Duration.ofSeconds(8),
                        Option.of(ADAPTER),
                        500,
                        200,
                        new byte[] {1},
                        List.of(),
                        Option.none());
        UpstreamChooser.ChoiceInputs inputs =
                new UpstreamChooser.ChoiceInputs(
                        request,
                        Option.of(ForwardRig.spec(6)),
                        0,
                        waitModel,
                        "",
                        readTime,
                        false,
                        age,
                        new ExcludedUpstreams(false));
        return new UpstreamChooser("a", new Random(1)).choose(inputs, List.of(engines));
    }

    private static String idOf(Option<UpstreamChooser.Choice> choice) {
        return choice.get().upstream().id();
    }

    /**
     * Guards against requests that are assigned to an engine without weights, which rejects the
     * load of their adapter, and are assigned to it again at once.
     */
    @Test
    public void engineWithoutBaseModelGetsNoRequests() {
        assertTrue(choose(Duration.ZERO, engine("e1", Set.of())).isEmpty());
        assertEquals(
                idOf(choose(Duration.ZERO, engine("e1", Set.of()), engine("e2", Set.of("m")))),
                "e2");
    }

    /** Guards against further loads at an engine whose slots others wait for. */
    @Test
    public void engineWithIdleSlotIsPreferred() {
        UpstreamState full = engine("e1", Set.of("m"));
        full.idleSlots().set(-3);
        UpstreamState free = engine("e2", Set.of("m"));
        free.idleSlots().set(1);
        assertEquals(idOf(choose(Duration.ZERO, full, free)), "e2");
        full.idleSlots().set(1);
        free.idleSlots().set(-3);
        assertEquals(idOf(choose(Duration.ZERO, full, free)), "e1");
    }

    /** Guards against engines that count as full long after their claim holder was lost. */
    @Test
    public void outdatedNumberOfIdleSlotsIsIgnored() {
        UpstreamState u = engine("e1", Set.of("m"));
        u.idleSlots().set(-50);
        assertEquals(u.idleSlots().count(), -50);
        time.advance(Duration.ofSeconds(3));
        assertFalse(u.idleSlots().isKnown());
        assertEquals(waitModel.expectedWaitMs(u, ADAPTER, 6), 250, 1);
    }

    /** Guards against a malformed message that makes an engine look free by an overflow. */
    @Test
    public void implausibleNumberOfIdleSlotsIsLimited() {
        UpstreamState u = engine("e1", Set.of("m"));
        u.idleSlots().set(Integer.MIN_VALUE);
        assertTrue(waitModel.expectedWaitMs(u, ADAPTER, 6) > 250);
        assertTrue(waitModel.delayToOthersMs(u, ADAPTER, 6) > 0);
    }

    /** Guards against another copy of an adapter while the slots are scarce. */
    @Test
    public void copyIsSharedWhenLoadsWaitForSlots() {
        UpstreamState holding = engine("e1", Set.of("m"));
        holding.setAdapters(Map.of(ADAPTER, 1), Map.of());
        holding.beginPrompt(1500);
        UpstreamState other = engine("e2", Set.of("m"));
        other.idleSlots().set(-3);
        assertEquals(idOf(choose(Duration.ZERO, holding, other)), "e1");
    }

    /** Guards against a request that is late anyway and delays others at a busy engine. */
    @Test
    public void requestWithLittleTimeLeftGetsOnlyAnIdleEngine() {
        UpstreamState busy = engine("e1", Set.of("m"));
        busy.setAdapters(Map.of(ADAPTER, 1), Map.of());
        busy.beginPrompt(1500);
        assertTrue(choose(Duration.ZERO, busy).isDefined());
        assertTrue(choose(Duration.ofMillis(190), busy).isEmpty());
        busy.endPrompt(1500);
        assertTrue(choose(Duration.ofMillis(190), busy).isDefined());
    }
}
