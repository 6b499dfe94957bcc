package org.bronzehill.entry.upstream;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.bronzehill.core.node.Input;
import org.bronzehill.core.node.OrderOutcome;

/** Parses the responses of engines to orders. */
final class OrderAnswers {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private OrderAnswers() {}

    static Input.OrderAnswered of(long orderId, BodyCollector.Whole answer) {
        OrderOutcome outcome =
                switch (answer.status()) {
                    case 200 -> OrderOutcome.DONE;
                    case 404 -> OrderOutcome.UNKNOWN_HANDLE;
                    case 409 -> OrderOutcome.FENCED;
                    case 502 -> OrderOutcome.STORE_FAILED;
                    case 507 -> OrderOutcome.FULL;
                    default -> OrderOutcome.UNKNOWN;
                };
        return new Input.OrderAnswered(orderId, outcome, highestFencing(answer.body()));
    }

    /**
     * Returns the number, which is a field of the root object or of the error object; 0 if absent.
     */
    private static long highestFencing(byte[] body) {
        try {
            return MAPPER.readTree(body).findPath("highest_fencing").asLong(0);
        } catch (IOException e) {
            return 0;
        }
    }
}
