package org.bronzehill.core.forward;

/** Receives the results of orders to engines, and what reports show of orders. */
interface OrderListener {
    /** The engine has loaded the adapter. */
    void onResident(UpstreamState upstream, AdapterRef adapter, int version);

    /** The engine cannot load the adapter. */
    void onLoadFailed(UpstreamState upstream, AdapterRef adapter);

    /** The engine's address now belongs to another upstream. */
    void onMisaddressed(UpstreamState upstream);

    /** No connection to the engine can be opened. */
    void onUnreachable(UpstreamState upstream);

    /** The engine has seen a higher fencing number than that of this instance. */
    void onFenced(UpstreamState upstream);

    /** The engine has accepted an order of this instance. */
    void onAccepted(UpstreamState upstream);

    /** The engine has accepted orders that this instance has not sent. */
    void onForeignOrders(UpstreamState upstream);
}
