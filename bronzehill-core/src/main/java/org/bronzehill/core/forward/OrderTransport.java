package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.util.function.Consumer;

/** Sends orders to engines and reads their reports. */
public interface OrderTransport {

    /** Sends an order. The reply arrives later on the same thread. */
    void order(UpstreamRecord upstream, Order order, Consumer<OrderReply> reply);

    /** Opens a connection and closes it. The reply tells whether it was opened. */
    default void connect(UpstreamRecord upstream, Consumer<Boolean> reply) {
        reply.accept(true);
    }

    /** Reads a report. The result is empty if none could be read. */
    void readReport(UpstreamRecord upstream, Consumer<Option<InventoryReport>> reply);
}
