package org.bronzehill.core.node;

import org.bronzehill.protocol.generated.DispatchEnd;
import org.bronzehill.protocol.generated.Envelope;

/** Passes the messages of peers to the components that handle them. */
final class PeerMessageDispatcher {

    private final CoreComponents components;

    PeerMessageDispatcher(CoreComponents components) {
        this.components = components;
    }

    void onEnvelope(Envelope envelope, Effects out) {
        CoreContext context = components.context();
        long to = envelope.getToIncarnation();
        if (to != 0 && to != context.settings().self().incarnation()) {
            return;
        }
        components.propagator().onEnvelope(envelope, out);
        if (!handleControlMessage(envelope, out)) {
            handleRequestMessage(envelope, out);
        }
        if (context.readiness().phase() == CoreStatus.Phase.CHECKING) {
            context.readiness().update(out);
        }
    }

    private boolean handleControlMessage(Envelope envelope, Effects out) {
        switch (envelope.getBodyCase()) {
            case PING, ACK, PING_REQUEST, LEAVING ->
                    components.membership().onMessage(envelope, out);
            case LEASE_REQUEST,
                    LEASE_REPLY,
                    LEASE_RELEASE,
                    INTENT_REQUEST,
                    INTENT_REPLY,
                    HOLDER_HANDOVER ->
                    components.leases().onMessage(envelope, out);
            case PERMIT_REQUEST, PERMIT_GRANT, PERMIT_RETURN ->
                    components.budget().onMessage(envelope, out);
            case CRASH_MARKS -> components.context().crashes().onMessage(envelope, out);
            case ENGINE_SUMMARIES -> components.onSummaries(envelope, out);
            case ENGINE_SUMMARIES_REQUEST -> components.onSummariesRequest(envelope, out);
            default -> {
                return false;
            }
        }
        return true;
    }

    private void handleRequestMessage(Envelope envelope, Effects out) {
        switch (envelope.getBodyCase()) {
            case ACT_FORWARD,
                    ACT_CLAIM,
                    ACT_CLAIM_REPLY,
                    ACT_QUERY,
                    ACT_STATUS,
                    ACT_HANDOVER,
                    ACT_COPY_REQUEST ->
                    components.acts().onMessage(envelope, out);
            case DISPATCH -> components.dispatches().onDispatch(envelope, out);
            case DISPATCH_CANCEL -> components.dispatches().onCancel(envelope, out);
            case DISPATCH_END -> {
                DispatchEnd end = envelope.getDispatchEnd();
                components
                        .modelRequests()
                        .onEnd(
                                end.getRequestId(),
                                end.getAttempt(),
                                AttemptResultForwarder.result(end),
                                out);
            }
            default -> {
                // The propagator has already handled the configuration messages.
            }
        }
    }

    void onPeerUnreachable(String instance, Effects out) {
        components.membership().onUnreachable(instance, out);
        components.acts().onUnreachable(instance, out);
        components.modelRequests().onPeerUnreachable(instance, out);
    }
}
