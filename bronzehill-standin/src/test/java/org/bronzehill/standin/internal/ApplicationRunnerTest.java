package org.bronzehill.standin.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

/** Guards against a runner that deduplicates acts and so hides an act that ran twice. */
public class ApplicationRunnerTest {

    private static final String KEY = "Idempotency-Key";

    @Test
    public void everyActIsRecordedAndLookupsAreNot() throws Exception {
        try (ApplicationRunner runner =
                ApplicationRunner.create("r1", List.of("pickup"), List.of())) {
            Http http = Http.of(runner.listen("127.0.0.1", 0));
            http.post("/services/pickup/confirm", "{}", KEY, "k");
            http.post("/services/pickup/confirm", "{}", KEY, "k");
            http.post("/services/pickup/lookup", "{}");
            assertEquals(runner.ledger().get("actsByKey", "pickup/k"), 2);
            assertEquals(runner.ledger().get("acts", "recorded"), 2);
            assertEquals(http.post("/services/bobbins/withdraw", "{}", KEY, "k").status(), 404);
        }
    }

    @Test
    public void lookupFindsAnActOfASiblingAndReportsUnavailableWhenASiblingIsDown()
            throws Exception {
        try (ApplicationRunner first =
                ApplicationRunner.create("r1", List.of("pickup"), List.of())) {
            HttpServer server = first.listen("127.0.0.1", 0);
            URI sibling = URI.create("http://127.0.0.1:" + server.port());
            try (ApplicationRunner second =
                    ApplicationRunner.create("r2", List.of("pickup"), List.of(sibling))) {
                Http http = Http.of(second.listen("127.0.0.1", 0));
                Http.of(server).post("/services/pickup/confirm", "{}", KEY, "k");
                assertEquals(http.get("/services/pickup/acts/k").status(), 200);
                assertEquals(http.get("/services/pickup/acts/other").status(), 404);
                first.close();
                assertEquals(http.get("/services/pickup/acts/other").status(), 503);
            }
        }
    }

    @Test
    public void lostAnswerLeavesTheActRecorded() throws Exception {
        try (ApplicationRunner runner =
                ApplicationRunner.create("r1", List.of("pickup"), List.of())) {
            Http http = Http.of(runner.listen("127.0.0.1", 0));
            http.put("/standin/faults", "{\"lostAnswers\":1}");
            CompletableFuture<Http.Reply> lost =
                    http.send("POST", "/services/pickup/confirm", "{}", KEY, "k");
            Http.until("the act is recorded", () -> runner.ledger().get("acts", "recorded") == 1);
            assertEquals(http.get("/services/pickup/acts/k").status(), 200);
            assertFalse(lost.isDone());
            assertEquals(runner.ledger().get("acts", "answersLost"), 1);
        }
    }

    @Test
    public void delayedAnswerComesAfterTheActIsRecorded() throws Exception {
        try (ApplicationRunner runner =
                ApplicationRunner.create("r1", List.of("pickup"), List.of())) {
            Http http = Http.of(runner.listen("127.0.0.1", 0));
            http.put("/standin/faults", "{\"answerDelayMs\":600000}");
            CompletableFuture<Http.Reply> late =
                    http.send("POST", "/services/pickup/confirm", "{}", KEY, "k");
            Http.until("the act is recorded", () -> runner.ledger().get("acts", "recorded") == 1);
            assertFalse(late.isDone());
        }
    }
}
