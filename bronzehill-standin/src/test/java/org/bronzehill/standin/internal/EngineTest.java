package org.bronzehill.standin.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.bronzehill.standin.Profile.EngineParameters;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/**
 * Guards against an engine stand-in that hides faults of a lease holder or reports faults that did
 * not occur.
 */
public class EngineTest {

    private static final String HANDLE = "route-1@2#7";
    private final List<AutoCloseable> open = new ArrayList<>();
    private Http http;

    private Engine start(boolean checksFencing, long reportLagMs) throws Exception {
        Engine engine =
                Engine.create(
                        new Engine.EngineOptions(
                                "e1",
                                new EngineParameters(2, 2, 1, 0.1),
                                checksFencing,
                                reportLagMs,
                                0,
                                null));
        open.add(engine);
        http = Http.of(engine.listen("127.0.0.1", 0));
        return engine;
    }

    @AfterMethod
    public void stop() throws Exception {
        for (AutoCloseable c : open) {
            c.close();
        }
        open.clear();
    }

    private Http.Reply load(String handle, long fencing) {
        return http.post(
                "/v1/load_lora_adapter",
                "{\"lora_name\":\"" + handle + "\",\"lora_path\":\"w\"}",
                "X-Fencing-Number",
                Long.toString(fencing));
    }

    private Http.Reply evict(String handle, long fencing) {
        return http.post(
                "/v1/unload_lora_adapter",
                "{\"lora_name\":\"" + handle + "\"}",
                "X-Fencing-Number",
                Long.toString(fencing));
    }

    private CompletableFuture<Http.Reply> chat(String id, String handle, String text, int tokens) {
        String body =
                Json.object()
                        .put("model", handle)
                        .put("stream", tokens > 100)
                        .put("max_tokens", tokens)
                        .set(
                                "messages",
                                Json.tree(
                                        List.of(java.util.Map.of("role", "user", "content", text))))
                        .toString();
        return http.send("POST", "/v1/chat/completions", body, "X-Request-Id", id);
    }

    @Test
    public void oldFencingNumberIsRefusedAndCounted() throws Exception {
        Engine engine = start(true, 0);
        assertEquals(load(HANDLE, 7).status(), 200);
        Http.Reply refused = evict(HANDLE, 6);
        assertEquals(refused.status(), 409);
        assertEquals(refused.json().path("highest_fencing").asLong(), 7);
        assertEquals(engine.ledger().get("orders", "oldRefused"), 1);
        assertEquals(engine.ledger().get("evictions", HANDLE), 0);
    }

    @Test
    public void engineThatIgnoresFencingCarriesOutOldOrdersAndCountsThem() throws Exception {
        Engine engine = start(false, 0);
        load(HANDLE, 7);
        assertEquals(evict(HANDLE, 6).status(), 200);
        assertEquals(engine.ledger().get("orders", "oldAccepted"), 1);
    }

    @Test
    public void fencingCanBeSwitchedOffWhileTheEngineRuns() throws Exception {
        start(true, 0);
        load(HANDLE, 7);
        http.put("/standin/faults", "{\"ignoresFencing\":true}");
        assertEquals(evict(HANDLE, 6).status(), 200);
    }

    @Test
    public void evictionUnderUseCutsTheRequestOffAndIsAViolation() throws Exception {
        Engine engine = start(true, 0);
        load(HANDLE, 7);
        CompletableFuture<Http.Reply> answer = chat("r1", HANDLE, "hello", 1_000_000);
        Http.until("r1 runs", () -> engine.ledger().get("runs", "r1") == 1);
        assertEquals(evict(HANDLE, 7).status(), 200);
        assertEquals(engine.ledger().violations().size(), 1);
        assertEquals(engine.ledger().violations().get(0).get("requestId"), "r1");
        assertEquals(engine.ledger().get("completed", "r1"), 0);
        assertFalse(
                answer.handle((r, e) -> e == null && r.text().contains("[DONE]")).join(),
                "the answer must not look complete");
    }

    @Test
    public void evictionOfAnIdleAdapterIsNoViolation() throws Exception {
        Engine engine = start(true, 0);
        load(HANDLE, 7);
        assertEquals(chat("r1", HANDLE, "hello", 2).join().status(), 200);
        evict(HANDLE, 7);
        assertTrue(engine.ledger().violations().isEmpty());
        assertEquals(chat("r2", HANDLE, "hello", 2).join().status(), 404);
        assertEquals(engine.ledger().get("runs", "r2"), 0);
    }

    @Test
    public void ledgerCountsEachRunOnceAndTheAnswerBelongsToItsPrompt() throws Exception {
        Engine engine = start(true, 0);
        load(HANDLE, 7);
        List<CompletableFuture<Http.Reply>> answers = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            answers.add(chat("r" + i, HANDLE, "prompt " + i, 5));
        }
        for (int i = 0; i < 10; i++) {
            String text = answers.get(i).join().json().at("/choices/0/message/content").asText();
            assertEquals(text, AnswerText.of("prompt " + i, 5));
            assertEquals(engine.ledger().get("runs", "r" + i), 1);
        }
        assertEquals(engine.ledger().get("runsByHandle", HANDLE), 10);
        assertEquals(engine.ledger().get("tokens", "produced"), 50);
        long steps = http.get("/standin/ledger").json().path("steps").asLong();
        assertTrue(steps >= 25, "a batch of 2 makes at most 2 tokens in a step: " + steps);
    }

    @Test
    public void slotsAreBounded() throws Exception {
        start(true, 0);
        assertEquals(load("a@1#7", 7).status(), 200);
        assertEquals(load("b@1#7", 7).status(), 200);
        assertEquals(load("b@1#7", 7).status(), 200);
        assertEquals(load("c@1#7", 7).status(), 507);
    }

    @Test
    public void failingLoadsEndAfterTheirCount() throws Exception {
        Engine engine = start(true, 0);
        http.put("/standin/faults", "{\"failLoads\":1}");
        assertEquals(load(HANDLE, 7).status(), 502);
        assertEquals(load(HANDLE, 7).status(), 200);
        assertEquals(engine.ledger().get("loadResults", "failed"), 1);
    }

    @Test
    public void reportLagsBehindTheTrueState() throws Exception {
        start(true, 600_000);
        load(HANDLE, 7);
        assertEquals(http.get("/v1/report").json().path("handles").size(), 0);
        assertEquals(http.get("/standin/ledger").json().path("resident").size(), 1);
    }

    @Test
    public void reportWithoutLagShowsTheTrueState() throws Exception {
        start(true, 0);
        load(HANDLE, 7);
        Http.until(
                "the report shows the handle",
                () -> http.get("/v1/report").json().path("handles").size() == 1);
    }

    @Test
    public void silencedConnectionStaysOpenWithoutBytesWhileNewOnesWork() throws Exception {
        Engine engine = start(true, 0);
        load(HANDLE, 7);
        CompletableFuture<Http.Reply> answer = chat("r1", HANDLE, "hello", 1_000_000);
        Http.until("r1 runs", () -> engine.ledger().get("runs", "r1") == 1);
        http.put("/standin/faults", "{\"silentConnections\":1}");
        assertTrue(engine.ledger().get("connections", "silenced") >= 1);
        assertEquals(chat("r2", HANDLE, "hello", 2).join().status(), 200);
        assertFalse(answer.isDone());
    }

    @Test
    public void markedRequestCrashesTheEngineWhenItRuns() throws Exception {
        Engine engine = start(true, 0);
        CountDownLatch crashed = new CountDownLatch(1);
        engine.onCrash(crashed::countDown);
        load(HANDLE, 7);
        http.put("/standin/faults", "{\"crashMarker\":\"poison\"}");
        chat("r1", HANDLE, "harmless", 2).join();
        assertEquals(crashed.getCount(), 1);
        chat("r2", HANDLE, "poison", 2).join();
        assertTrue(crashed.await(20, TimeUnit.SECONDS));
    }

    @Test
    public void runsAfterTheMarkAreCountedSeparately() throws Exception {
        Engine engine = start(true, 0);
        load(HANDLE, 7);
        chat("r1", HANDLE, "hello", 1).join();
        http.post("/standin/mark", "");
        assertEquals(engine.ledger().get("afterMark", "runs"), 0);
        chat("r2", HANDLE, "hello", 1).join();
        assertEquals(engine.ledger().get("afterMark", "runs"), 1);
    }
}
