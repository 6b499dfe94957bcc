package org.bronzehill.entry.runtime;

import org.bronzehill.core.node.Input;
import org.bronzehill.entry.peer.PeerListener;
import org.bronzehill.entry.relay.SinkTable;
import org.bronzehill.entry.telemetry.Tracing;
import org.bronzehill.entry.upstream.InputSink;
import org.bronzehill.protocol.generated.DispatchChunk;
import org.bronzehill.protocol.generated.Envelope;

/** Passes the messages of peers to the core; chunks bypass it and go directly to the answer. */
public final class PeerInbox implements PeerListener {

    private final SinkTable sinks;
    private final Tracing tracing;
    private volatile InputSink inputs;

    private PeerInbox(SinkTable sinks, Tracing tracing) {
        this.sinks = sinks;
        this.tracing = tracing;
    }

    /** Creates an inbox; messages for the core are dropped until {@link #bind} is called. */
    public static PeerInbox create(SinkTable sinks, Tracing tracing) {
        return new PeerInbox(sinks, tracing);
    }

    /** Sets the destination of the messages for the core. */
    public void bind(InputSink newInputs) {
        inputs = newInputs;
    }

    @Override
    public void onMessage(Envelope envelope) {
        if (envelope.hasDispatchChunk()) {
            DispatchChunk chunk = envelope.getDispatchChunk();
            sinks.chunk(
                    chunk.getRequestId(),
                    chunk.getAttempt(),
                    chunk.getSequence(),
                    chunk.getData().toByteArray());
            return;
        }
        tracing.onReceive(envelope);
        InputSink target = inputs;
        if (target != null) {
            target.accept(new Input.PeerReceived(envelope));
        }
    }

    @Override
    public void onUnreachable(String instance) {
        InputSink target = inputs;
        if (target != null) {
            target.accept(new Input.PeerUnreachable(instance));
        }
    }
}
