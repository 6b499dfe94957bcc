package org.bronzehill.core.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bronzehill.core.engine.EngineRequest;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.protocol.generated.Dispatch;
import org.bronzehill.protocol.generated.DispatchCancel;
import org.bronzehill.protocol.generated.Envelope;

/** Receives requests from peers for engines whose lease this instance holds. */
final class DispatchReceiver {

    /**
     * Maximum time that a request waits for a newer configuration. Pulling one from a peer takes a
     * few milliseconds; if it takes longer than this limit, the origin should try another engine.
     */
    private static final Duration MAX_CONFIGURATION_WAIT = Duration.ofSeconds(1);

    private static final int MAX_PENDING_DISPATCHES = 1024;

    private final List<PendingDispatch> pending = new ArrayList<>();
    private final CoreContext context;
    private final LeasedEngines engines;
    private final AttemptResultForwarder resultForwarder;

    DispatchReceiver(
            CoreContext context, LeasedEngines engines, AttemptResultForwarder resultForwarder) {
        this.context = context;
        this.engines = engines;
        this.resultForwarder = resultForwarder;
    }

    /** A request whose origin has a newer configuration than this instance. */
    private record PendingDispatch(
            String engine, EngineRequest request, long configurationNumber, long sinceNanos) {}

    void onDispatch(Envelope envelope, Effects out) {
        Dispatch message = envelope.getDispatch();
        EngineRequest request = EngineRequest.of(envelope.getFrom(), message);
        long configurationNumber = envelope.getConfigurationNumber();
        if (context.readiness().isDraining()) {
            resultForwarder.refuse(request, ResultCode.DRAINING, out);
        } else if (configurationNumber <= context.configuration().number()) {
            engines.submit(message.getEngine(), request, configurationNumber, out);
        } else if (pending.size() < MAX_PENDING_DISPATCHES) {
            pending.add(
                    new PendingDispatch(
                            message.getEngine(),
                            request,
                            configurationNumber,
                            context.time().nanoTime()));
        } else {
            resultForwarder.refuse(request, ResultCode.CONFIGURATION_BEHIND, out);
        }
    }

    void onCancel(Envelope envelope, Effects out) {
        DispatchCancel message = envelope.getDispatchCancel();
        String id = message.getRequestId();
        for (PendingDispatch dispatch : List.copyOf(pending)) {
            EngineRequest r = dispatch.request();
            if (r.requestId().equals(id) && r.attempt() == message.getAttempt()) {
                pending.remove(dispatch);
                resultForwarder.refuse(r, ResultCode.CANCELLED, out);
            }
        }
        engines.cancel(id, message.getAttempt(), out);
    }

    /**
     * Submits requests whose configuration has arrived or whose wait has timed out. On submission,
     * a request whose configuration is still missing is refused with {@code CONFIGURATION_BEHIND},
     * unless another refusal applies first.
     */
    void onTick(Effects out) {
        if (pending.isEmpty()) {
            return;
        }
        long now = context.time().nanoTime();
        for (PendingDispatch dispatch : List.copyOf(pending)) {
            boolean arrived = dispatch.configurationNumber() <= context.configuration().number();
            boolean late = now - dispatch.sinceNanos() > MAX_CONFIGURATION_WAIT.toNanos();
            if (arrived || late) {
                pending.remove(dispatch);
                engines.submit(
                        dispatch.engine(), dispatch.request(), dispatch.configurationNumber(), out);
            }
        }
    }

    int size() {
        return pending.size();
    }
}
