package org.bronzehill.standin.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.ConfigurationBase;
import org.bronzehill.config.ConfigurationImage;
import org.bronzehill.config.ImageCodec;
import org.testng.annotations.Test;

/**
 * Guards against platform stand-ins that return more current or more accurate data than the real
 * services, which would hide faults of entry instances.
 */
public class PlatformTest {

    private static ConfigurationImage image(long number) {
        return ImageCodec.encode(
                Configuration.of(number, ConfigurationBase.EMPTY, List.of(Map.of())));
    }

    @Test
    public void publishCompletesALongPollAndCallsAreCounted() throws Exception {
        try (ConfigurationService service = ConfigurationService.create("c")) {
            Http http = Http.of(service.listen("127.0.0.1", 0));
            service.publish(image(4));
            CompletableFuture<Http.Reply> longPoll =
                    http.send("GET", "/v1/manifest?have=4&wait_ms=600000", "");
            Http.until(
                    "the long poll is open",
                    () -> http.get("/standin/ledger").json().path("watches").asInt() == 1);
            assertFalse(longPoll.isDone());
            service.publish(image(5));
            assertEquals(longPoll.join().json().path("number").asLong(), 5);
            String base = longPoll.join().json().path("base").asText();
            assertEquals(ImageCodec.hash(http.get("/v1/shards/" + base).text().getBytes()), base);
            assertEquals(http.get("/v1/manifest?have=5&wait_ms=1").status(), 304);
            assertEquals(service.ledger().get("calls", "manifest"), 2);
            assertEquals(service.ledger().get("calls", "shard"), 1);
        }
    }

    @Test
    public void staleServiceAnswersWithTheOlderNumber() throws Exception {
        try (ConfigurationService service = ConfigurationService.create("c")) {
            Http http = Http.of(service.listen("127.0.0.1", 0));
            service.publish(image(4));
            service.publish(image(5));
            http.put("/standin/faults", "{\"stale\":true}");
            assertEquals(http.get("/v1/manifest?have=5").json().path("number").asLong(), 4);
        }
    }

    @Test
    public void listVersionGrowsWithEveryChange() throws Exception {
        try (InstanceListService list = InstanceListService.create("l", 0)) {
            Http http = Http.of(list.listen("127.0.0.1", 0));
            http.put("/standin/list/upstreams/e1", "{\"kind\":\"engine\",\"uri\":\"http://h:1\"}");
            http.put("/standin/list/upstreams/e1", "{\"state\":\"leaving\"}");
            Http.until(
                    "the change is visible",
                    () -> http.get("/v1/instances").json().path("version").asLong() == 2);
            assertEquals(
                    http.get("/v1/instances").json().at("/upstreams/0/state").asText(), "leaving");
            assertEquals(
                    http.get("/v1/instances").json().at("/upstreams/0/kind").asText(), "engine");
        }
    }

    @Test
    public void laggingListShowsTheOldState() throws Exception {
        try (InstanceListService list = InstanceListService.create("l", 600_000)) {
            Http http = Http.of(list.listen("127.0.0.1", 0));
            http.put("/standin/list/instances/i1", "{\"state\":\"live\"}");
            assertEquals(http.get("/v1/instances").json().path("instances").size(), 0);
        }
    }

    @Test
    public void refusingStoreFailsLoadsAndCountsThem() throws Exception {
        try (WeightStore store =
                WeightStore.create("s", org.bronzehill.standin.Profile.DRIFTLESS.store())) {
            Http http = Http.of(store.listen("127.0.0.1", 0));
            http.put("/standin/faults", "{\"failLoads\":1}");
            assertEquals(http.post("/v1/transfers", "{\"weights\":\"w\"}").status(), 502);
            assertEquals(http.post("/v1/transfers", "{\"weights\":\"w\"}").status(), 200);
            http.put("/standin/faults", "{\"refuse\":true}");
            assertEquals(http.post("/v1/transfers", "{\"weights\":\"w\"}").status(), 503);
            assertEquals(store.ledger().get("transfers", "arrived"), 1);
            assertEquals(store.ledger().get("requests", "refused"), 1);
        }
    }

    @Test
    public void wrongFaultsAreRefusedTogetherAndChangeNothing() {
        Faults faults = Faults.create();
        List<String> errors =
                faults.merge(Json.parse("{\"refuse\":true,\"slowMs\":\"x\",\"no\":1}".getBytes()));
        assertEquals(errors.size(), 2);
        assertFalse(faults.isOn("refuse"));
        assertTrue(faults.merge(Json.parse("{\"refuse\":true}".getBytes())).isEmpty());
        assertTrue(faults.isOn("refuse"));
    }
}
