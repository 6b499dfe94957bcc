package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.util.function.Consumer;

/** Sends orders to engines and reads their reports. */
public interface OrderTransport {

    /** Sends an order; the reply comes later on the same thread. */
    void order(UpstreamRecord upstream, Order order, Consumer<OrderReply> reply);

    /** Reads a report; empty if none could be read. */
    void report(UpstreamRecord upstream, Consumer<Option<EngineStatus>> reply);
}
