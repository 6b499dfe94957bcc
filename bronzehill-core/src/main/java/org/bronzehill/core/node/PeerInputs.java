package org.bronzehill.core.node;

import org.bronzehill.protocol.generated.DispatchEnd;
import org.bronzehill.protocol.generated.Envelope;

/** Delivers the messages of peers to the components. */
final class PeerInputs {

    private final CoreParts parts;

    PeerInputs(CoreParts parts) {
        this.parts = parts;
    }

    void onEnvelope(Envelope envelope, Effects out) {
        CoreContext context = parts.context();
        long to = envelope.getToIncarnation();
        if (to != 0 && to != context.settings().self().incarnation()) {
            return;
        }
        parts.spread().onEnvelope(envelope, out);
        if (!onControl(envelope, out)) {
            onWork(envelope, out);
        }
        if (context.readiness().phase() == CoreStatus.Phase.CHECKING) {
            context.readiness().update(out);
        }
    }

    private boolean onControl(Envelope envelope, Effects out) {
        switch (envelope.getBodyCase()) {
            case PING, ACK, PING_REQUEST, LEAVING -> parts.membership().onMessage(envelope, out);
            case LEASE_REQUEST,
                    LEASE_REPLY,
                    LEASE_RELEASE,
                    INTENT_REQUEST,
                    INTENT_REPLY,
                    HOLDER_HANDOVER ->
                    parts.leases().onMessage(envelope, out);
            case PERMIT_REQUEST, PERMIT_GRANT, PERMIT_RETURN ->
                    parts.budget().onMessage(envelope, out);
            case CRASH_MARKS -> parts.context().crashes().onMessage(envelope, out);
            case ENGINE_SUMMARIES -> parts.onSummaries(envelope, out);
            case ENGINE_SUMMARIES_REQUEST -> parts.onSummariesRequest(envelope, out);
            default -> {
                return false;
            }
        }
        return true;
    }

    private void onWork(Envelope envelope, Effects out) {
        switch (envelope.getBodyCase()) {
            case ACT_FORWARD,
                    ACT_CLAIM,
                    ACT_CLAIM_REPLY,
                    ACT_QUERY,
                    ACT_STATUS,
                    ACT_HANDOVER,
                    ACT_COPY_REQUEST ->
                    parts.acts().onMessage(envelope, out);
            case DISPATCH -> parts.dispatches().onDispatch(envelope, out);
            case DISPATCH_CANCEL -> parts.dispatches().onCancel(envelope, out);
            case DISPATCH_END -> {
                DispatchEnd end = envelope.getDispatchEnd();
                parts.models()
                        .onEnd(
                                end.getRequestId(),
                                end.getAttempt(),
                                EngineReplies.result(end),
                                out);
            }
            default -> {
                // The spread component has handled the configuration messages.
            }
        }
    }

    void onUnreachable(String instance, Effects out) {
        parts.membership().onUnreachable(instance, out);
        parts.acts().onUnreachable(instance, out);
        parts.models().onUnreachable(instance, out);
    }
}
