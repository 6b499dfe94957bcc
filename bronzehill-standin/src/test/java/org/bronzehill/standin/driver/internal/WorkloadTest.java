package org.bronzehill.standin.driver.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.ConfigurationImage;
import org.bronzehill.config.ConfigurationStore;
import org.bronzehill.config.ImageCodec;
import org.bronzehill.standin.Profile;
import org.testng.annotations.Test;

/**
 * Guards against a load that differs between runs with the same seed, and against adapter
 * popularity without a heavy tail.
 */
public class WorkloadTest {

    private static List<Call> calls(Workload load, int count) {
        return Stream.generate(load::next).limit(count).toList();
    }

    @Test
    public void sameSeedGivesTheSameDeclarationAndLoad() {
        for (Profile profile : Profile.values()) {
            assertEquals(
                    ImageCodec.encode(Declarations.create(profile, 5, 9)).manifest(),
                    ImageCodec.encode(Declarations.create(profile, 5, 9)).manifest());
            assertEquals(
                    calls(Workload.of(profile, 30, 1000, 9), 500).toString(),
                    calls(Workload.of(profile, 30, 1000, 9), 500).toString());
        }
        assertNotEquals(
                ImageCodec.encode(Declarations.create(Profile.SIALKOT, 5, 9)).manifest(),
                ImageCodec.encode(Declarations.create(Profile.SIALKOT, 5, 10)).manifest());
    }

    @Test
    public void declarationIsAcceptedAndFitsTheValueLimit() {
        for (Profile profile : Profile.values()) {
            ConfigurationImage image = ImageCodec.encode(Declarations.create(profile, 5, 9));
            image.shards()
                    .values()
                    .forEach(s -> assertTrue(s.length <= ImageCodec.MAX_VALUE_BYTES));
            ConfigurationStore store = ConfigurationStore.create();
            assertEquals(store.offer(image).get(), ConfigurationStore.OfferResult.ACCEPTED);
            Configuration read = store.current();
            assertEquals(read.adapters().count(), Profile.ADAPTERS);
            byte[] token =
                    Declarations.token(Declarations.teams(profile).get(0), 1)
                            .getBytes(StandardCharsets.UTF_8);
            assertTrue(read.caller(ImageCodec.hash(token)).isDefined());
        }
    }

    @Test
    public void nextDeclarationChangesPinsButNoVersion() {
        Configuration first = Declarations.create(Profile.DRIFTLESS, 5, 9);
        Configuration next = Declarations.next(first);
        assertEquals(next.number(), 6);
        long changed =
                first.adapters()
                        .filter(
                                a ->
                                        a.versionFor("route-chat")
                                                != next.adapter(a.name())
                                                        .get()
                                                        .versionFor("route-chat"))
                        .count();
        assertTrue(changed > Profile.ADAPTERS / 4, "changed pins: " + changed);
        next.adapters().forEach(a -> assertTrue(a.versions().containsKey(a.versionFor("any"))));
    }

    @Test
    public void popularityIsHeavyTailedAndShifts() {
        List<Call> calls = calls(Workload.of(Profile.DRIFTLESS, 100, 20_000, 3), 4000);
        Set<String> before = popular(calls.stream().filter(c -> c.atMs() < 20_000).toList());
        Set<String> after = popular(calls.stream().filter(c -> c.atMs() >= 20_000).toList());
        before.retainAll(after);
        assertTrue(before.size() <= 1, "still popular after the shift: " + before);
        assertTrue(
                calls.stream().filter(Call::isModel).map(Call::adapter).distinct().count() > 100);
    }

    private static Set<String> popular(List<Call> calls) {
        Map<String, Integer> counts = new HashMap<>();
        calls.stream()
                .filter(Call::isModel)
                .forEach(c -> counts.merge(c.adapter(), 1, Integer::sum));
        List<String> ranked =
                counts.keySet().stream()
                        .sorted((a, b) -> counts.get(b) - counts.get(a))
                        .limit(8)
                        .toList();
        int models = counts.values().stream().mapToInt(Integer::intValue).sum();
        int top = ranked.stream().mapToInt(counts::get).sum();
        assertTrue(top > models / 3, "the 8 most popular adapters get " + top + " of " + models);
        return new HashSet<>(ranked);
    }

    @Test
    public void everyActHasItsOwnKeyAndNothingElseHasOne() {
        List<Call> calls = calls(Workload.of(Profile.SIALKOT, 30, -1, 4), 1000);
        List<String> keys = calls.stream().filter(Call::isAct).map(Call::key).toList();
        assertFalse(keys.isEmpty());
        assertEquals(keys.stream().distinct().count(), keys.size());
        assertTrue(calls.stream().filter(c -> !c.isAct()).allMatch(c -> c.key().isEmpty()));
        assertTrue(calls(Workload.acts(Profile.SIALKOT, 30, 4), 50).stream().allMatch(Call::isAct));
    }
}
