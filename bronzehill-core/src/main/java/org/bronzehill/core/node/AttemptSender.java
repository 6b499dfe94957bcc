package org.bronzehill.core.node;

import com.google.protobuf.ByteString;
import java.time.Duration;
import org.bronzehill.core.engine.EngineRequest;
import org.bronzehill.core.membership.Peer;
import org.bronzehill.core.membership.PeerStatus;
import org.bronzehill.core.model.ModelRequest;
import org.bronzehill.protocol.generated.Dispatch;
import org.bronzehill.protocol.generated.DispatchCancel;
import org.bronzehill.protocol.generated.Envelope;

/** Sends attempts to the instance that holds the engine's lease, which may be this instance. */
final class AttemptSender {

    private final CoreContext context;
    private final LeasedEngines engines;

    AttemptSender(CoreContext context, LeasedEngines engines) {
        this.context = context;
        this.engines = engines;
    }

    /**
     * Sends an attempt to the holder of its route.
     *
     * @param finalHop whether the holder must not redirect the request to another engine
     */
    void send(
            OpenRequest r,
            OpenRequest.Attempt attempt,
            boolean finalHop,
            Duration left,
            Effects out) {
        Dispatch message = message(r, attempt, finalHop, left);
        String holder = attempt.route().holder();
        if (isSelf(holder)) {
            engines.submit(
                    attempt.route().engine(),
                    EngineRequest.of(holder, message),
                    context.configuration().number(),
                    out);
        } else {
            out.add(new Effect.SendPeer(holder, Envelope.newBuilder().setDispatch(message), false));
        }
    }

    private static Dispatch message(
            OpenRequest r, OpenRequest.Attempt attempt, boolean finalHop, Duration left) {
        ModelRequest request = r.request();
        return Dispatch.newBuilder()
                .setRequestId(r.id())
                .setAttempt(attempt.number())
                .setEngine(attempt.route().engine())
                .setMember(r.granted().caller().team().name())
                .setCaller(r.granted().caller().name())
                .setKind(request.kind())
                .setAdapter(request.adapter())
                .setBody(ByteString.copyFrom(request.body()))
                .setStream(request.stream())
                .setDeadlineMs(Math.max(1, left.toMillis()))
                .setFingerprint(ByteString.copyFrom(r.fingerprint()))
                .setPrefixHash(request.prefixHash())
                .setFinalHop(finalHop)
                .setMaxTokens(request.maxTokens())
                .build();
    }

    void cancel(String requestId, OpenRequest.Attempt attempt, Effects out) {
        String holder = attempt.route().holder();
        if (isSelf(holder)) {
            engines.cancel(requestId, attempt.number(), out);
        } else {
            out.add(
                    new Effect.SendPeer(
                            holder,
                            Envelope.newBuilder()
                                    .setDispatchCancel(
                                            DispatchCancel.newBuilder()
                                                    .setRequestId(requestId)
                                                    .setAttempt(attempt.number())),
                            false));
        }
    }

    /** Returns whether the holder of an attempt is dead or unknown, so that no result will come. */
    boolean isHolderDead(OpenRequest.Attempt attempt) {
        String holder = attempt.route().holder();
        if (isSelf(holder)) {
            return false;
        }
        Peer peer = context.membership().peer(holder).getOrNull();
        return peer == null || peer.status() == PeerStatus.DEAD;
    }

    private boolean isSelf(String instance) {
        return instance.equals(context.selfId());
    }
}
