package org.bronzehill.entry.upstream;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.bronzehill.core.node.Input;
import org.bronzehill.core.node.OrderOutcome;

/** Parses the responses of engines to orders, which are management commands such as a load. */
final class OrderResponseParser {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private OrderResponseParser() {}

    static Input.OrderAnswered parse(long orderId, BodyCollector.Response response) {
        OrderOutcome outcome =
                switch (response.status()) {
                    case 200 -> OrderOutcome.DONE;
                    case 404 -> OrderOutcome.UNKNOWN_HANDLE;
                    case 409 -> OrderOutcome.FENCED;
                    case 502 -> OrderOutcome.STORE_FAILED;
                    case 507 -> OrderOutcome.FULL;
                    default -> OrderOutcome.UNKNOWN;
                };
        return new Input.OrderAnswered(orderId, outcome, highestFencing(response.body()));
    }

    /**
     * Returns the highest fencing number that the engine reports, which is a field of the root
     * object or of the error object; 0 if absent.
     */
    private static long highestFencing(byte[] body) {
        try {
            return MAPPER.readTree(body).findPath("highest_fencing").asLong(0);
        } catch (IOException e) {
            return 0;
        }
    }
}
