package org.bronzehill.core.node;

import java.time.Duration;
import org.bronzehill.core.engine.EngineRequest;
import org.bronzehill.core.engine.EngineRequestListener;
import org.bronzehill.core.engine.EngineResult;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.protocol.generated.DispatchEnd;
import org.bronzehill.protocol.generated.Envelope;

/** Forwards the result of an attempt to the instance where the request originated. */
final class AttemptResultForwarder implements EngineRequestListener {

    private final CoreContext context;
    private ModelRequests localRequests;

    AttemptResultForwarder(CoreContext context) {
        this.context = context;
    }

    /** Sets the receiver of results for requests that originated at this instance. */
    void bind(ModelRequests requests) {
        localRequests = requests;
    }

    @Override
    public void ended(EngineRequest request, EngineResult result, Effects out) {
        if (request.origin().equals(context.selfId())) {
            localRequests.onEnd(request.requestId(), request.attempt(), result, out);
        } else {
            out.add(
                    new Effect.SendPeer(
                            request.origin(),
                            Envelope.newBuilder().setDispatchEnd(message(request, result)),
                            false));
        }
    }

    private static DispatchEnd message(EngineRequest request, EngineResult result) {
        return DispatchEnd.newBuilder()
                .setRequestId(request.requestId())
                .setAttempt(request.attempt())
                .setChunks(result.chunks())
                .setResultCode(result.code().number())
                .setAdapter(result.adapter())
                .setVersion(result.version())
                .setConfigurationNumber(result.configurationNumber())
                .setUpstream(result.upstream())
                .setRedirectTo(result.redirectTo())
                .setLoadStallMs(result.loadStall().toMillis())
                .setRetryAfterMs(result.retryAfter().toMillis())
                .build();
    }

    /** Converts the result in a peer's message. */
    static EngineResult result(DispatchEnd end) {
        return new EngineResult(
                ResultCode.ofNumber(end.getResultCode()),
                end.getAdapter(),
                end.getVersion(),
                end.getConfigurationNumber(),
                end.getUpstream(),
                end.getChunks(),
                end.getRedirectTo(),
                Duration.ofMillis(end.getLoadStallMs()),
                Duration.ofMillis(end.getRetryAfterMs()));
    }

    /** Refuses a request that was not submitted to any scheduler. */
    void refuse(EngineRequest request, ResultCode code, Effects out) {
        ended(
                request,
                new EngineResult(
                        code,
                        request.adapter(),
                        0,
                        context.configuration().number(),
                        "",
                        0,
                        "",
                        Duration.ZERO,
                        Duration.ZERO),
                out);
    }
}
