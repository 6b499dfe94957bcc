package org.bronzehill.standin.driver.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.bronzehill.standin.internal.AnswerText;
import org.bronzehill.standin.internal.Json;

/** Compares an answer with the one that the stand-ins generate for the call. */
final class AnswerCheck {

    private static final Pattern RESULT_COMMENT =
            Pattern.compile("(?m)^:\\s*X-Bronzehill-Result:\\s*(\\d+)");

    private AnswerCheck() {}

    /** Returns the result number in a stream of events, or an empty string if there is none. */
    static String streamResult(String body) {
        Matcher matcher = RESULT_COMMENT.matcher(body);
        String number = "";
        while (matcher.find()) {
            number = matcher.group(1);
        }
        return number;
    }

    /** Returns whether the body is the complete answer to this call. */
    static boolean isCorrect(Call call, String body) {
        if (!call.isModel()) {
            JsonNode answer = parse(body);
            return answer.path("key").asText().equals(call.isAct() ? call.recordedKey() : "")
                    && answer.path("echo").asText().contains('"' + call.prompt() + '"');
        }
        String expected = AnswerText.of(call.prompt(), call.tokens());
        if (!call.stream()) {
            return parse(body).at("/choices/0/message/content").asText().equals(expected);
        }
        StringBuilder text = new StringBuilder();
        boolean done = false;
        for (String line : body.split("\r?\n")) {
            if (line.startsWith("data:")) {
                String data = line.substring("data:".length()).strip();
                done = data.equals("[DONE]");
                if (!done) {
                    text.append(parse(data).at("/choices/0/delta/content").asText());
                }
            }
        }
        return done && text.toString().equals(expected);
    }

    private static JsonNode parse(String body) {
        return Json.parse(body.getBytes(StandardCharsets.UTF_8));
    }
}
