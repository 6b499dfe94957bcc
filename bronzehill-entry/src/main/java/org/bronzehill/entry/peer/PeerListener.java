package org.bronzehill.entry.peer;

import org.bronzehill.protocol.generated.Envelope;

/** Receives the events of peer links; called on the event loops of the links. */
public interface PeerListener {

    /** Called when a message has arrived. */
    void onMessage(Envelope envelope);

    /** Called when no connection to the instance can be opened, or the open one was lost. */
    void onUnreachable(String instance);
}
