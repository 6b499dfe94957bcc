package org.bronzehill.entry.peer;

import org.bronzehill.protocol.generated.Envelope;

/** Receives what happens on peer links; called on the event loops of the links. */
public interface PeerListener {

    /** A message arrived. */
    void received(Envelope envelope);

    /** A message to the instance could not be written, or its connection broke. */
    void unreachable(String instance);
}
