package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.function.Consumer;

/** Sends orders to engines and reads their reports. */
public interface OrderTransport {

    /** Sends an order. The reply arrives later on the same thread. */
    void order(UpstreamRecord upstream, Order order, Consumer<OrderReply> reply);

    /**
     * Asks for something on a new connection and closes it. What the answer says does not matter.
     *
     * @param timeLimit time after which an answer no longer counts
     */
    default void probe(UpstreamRecord upstream, Duration timeLimit, Consumer<ProbeResult> reply) {
        reply.accept(ProbeResult.ANSWERED);
    }

    /** Reads a report. The result is empty if none could be read. */
    void readReport(UpstreamRecord upstream, Consumer<Option<InventoryReport>> reply);
}
