package org.bronzehill.standin.driver.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.standin.Profile;
import org.bronzehill.standin.internal.AnswerText;
import org.bronzehill.standin.internal.Exchange;
import org.bronzehill.standin.internal.HttpServer;
import org.testng.annotations.Test;

/**
 * Guards against calls that are not resent after a broken connection, refused calls that are resent
 * indefinitely, and incomplete or foreign answers that count as correct.
 */
public class LoadGeneratorTest {

    private static final TrafficClass CONFIRM =
            Declarations.trafficClasses(Profile.DRIFTLESS).get(2);
    private static final TrafficClass CHAT = Declarations.trafficClasses(Profile.DRIFTLESS).get(0);

    private static Consumer<Exchange> ready(Consumer<Exchange> work) {
        return x -> {
            if (x.path().equals("/health/ready")) {
                x.respond(200, Map.of());
            } else {
                work.accept(x);
            }
        };
    }

    private static List<AttemptOutcome> outcomes(
            Consumer<Exchange> first, Consumer<Exchange> second) throws InterruptedException {
        try (HttpServer a = HttpServer.start("127.0.0.1", 0, ready(first));
                HttpServer b = HttpServer.start("127.0.0.1", 0, ready(second));
                Balancer balancer = Balancer.create()) {
            balancer.add("a", URI.create("http://127.0.0.1:" + a.port()));
            balancer.add("b", URI.create("http://127.0.0.1:" + b.port()));
            while (balancer.ready().size() < 2) {
                Thread.sleep(10);
            }
            CallLog log = CallLog.create();
            // The rate of one call in 1,000 s ensures that only the submitted call is sent.
            try (LoadGenerator load =
                    LoadGenerator.start(
                            Workload.of(Profile.DRIFTLESS, 0.001, -1, 1), balancer, log)) {
                load.submit(new Call(0, 0, CONFIRM, "", "m", "t", "p", 0, false, "k", true));
                assertTrue(load.finish(Duration.ofSeconds(30)));
            }
            return log.outcomes();
        }
    }

    @Test
    public void actIsSentAgainWithItsKeyThroughAnotherInstanceAfterABrokenConnection()
            throws InterruptedException {
        List<AttemptOutcome> outcomes =
                outcomes(Exchange::abort, x -> x.error(500, x.header("Idempotency-Key")));
        assertTrue(outcomes.size() > 1);
        assertEquals(outcomes.get(0).instance(), "a");
        assertEquals(outcomes.get(0).failure(), "connection broken");
        assertEquals(outcomes.get(1).instance(), "b");
        assertEquals(outcomes.get(1).failure(), "status 500 without a result");
        assertEquals(
                outcomes.stream().map(AttemptOutcome::requestId).distinct().count(),
                outcomes.size());
    }

    @Test
    public void unreachableInstanceIsReportedAsConnectionRefused() throws InterruptedException {
        URI unreachable = URI.create("http://127.0.0.1:1");
        AttemptOutcome outcome =
                AttemptClient.of(java.net.http.HttpClient.newHttpClient(), System.nanoTime())
                        .send(
                                new Call(0, 0, CONFIRM, "", "m", "t", "p", 0, false, "k", true),
                                new Balancer.Target("x", unreachable));
        assertEquals(outcome.failure(), "connection refused");
    }

    @Test
    public void streamIsCorrectOnlyWithTheExpectedTextAndTheEndMarker() {
        Call call = new Call(0, 0, CHAT, "a", "m", "t", "hello", 2, true, "", true);
        String text = AnswerText.of("hello", 2);
        String event = "data: {\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}\n\n";
        String end = ": X-Bronzehill-Result: 1000\ndata: [DONE]\n\n";
        assertTrue(AnswerCheck.isCorrect(call, event + end));
        assertFalse(AnswerCheck.isCorrect(call, event));
        assertFalse(AnswerCheck.isCorrect(call, event.replace("-1", "-2") + end));
        assertEquals(AnswerCheck.streamResult(event + end), "1000");
        assertEquals(AnswerCheck.streamResult(event), "");
    }

    @Test
    public void answerOfAnotherActIsNotCorrect() {
        Call call = new Call(0, 0, CONFIRM, "", "m", "t", "request 1", 0, false, "k", true);
        String echo = "{\\\"request\\\":\\\"request 1\\\"}";
        assertTrue(AnswerCheck.isCorrect(call, "{\"key\":\"m:k\",\"echo\":\"" + echo + "\"}"));
        assertFalse(AnswerCheck.isCorrect(call, "{\"key\":\"m:j\",\"echo\":\"" + echo + "\"}"));
        assertFalse(AnswerCheck.isCorrect(call, "{\"key\":\"m:k\",\"echo\":\"\"}"));
    }

    @Test
    public void refusalThatForbidsResendingIsFinal() throws InterruptedException {
        Consumer<Exchange> refuse = x -> refuse(x, ResultCode.NOT_ENTITLED);
        List<AttemptOutcome> outcomes = outcomes(refuse, refuse);
        assertEquals(outcomes.size(), 1);
        assertTrue(outcomes.get(0).reportsNotRun());
    }

    private static void refuse(Exchange exchange, ResultCode code) {
        String body = "{\"error\":{\"number\":" + code.number() + "}}";
        exchange.respond(
                code.httpStatus(), "application/json", body.getBytes(StandardCharsets.UTF_8));
    }
}
