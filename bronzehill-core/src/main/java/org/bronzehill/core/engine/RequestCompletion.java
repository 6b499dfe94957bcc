package org.bronzehill.core.engine;

import java.time.Duration;
import org.bronzehill.core.admission.Entitlement;
import org.bronzehill.core.node.CoreMetric;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.core.result.RunState;

/** Ends requests: builds their results and passes them to the listener. */
final class RequestCompletion {

    private final EngineState engine;

    RequestCompletion(EngineState engine) {
        this.engine = engine;
    }

    /** Ends a request that is refused on arrival. */
    void refuse(EngineRequest r, ResultCode code, Duration retryAfter, Effects out) {
        end(r, code, null, 0, "", 0, retryAfter, out);
    }

    /** Ends a request with a redirect to another engine. */
    void redirect(EngineRequest r, String to, Effects out) {
        end(r, ResultCode.REDIRECT, null, 0, to, 0, Duration.ZERO, out);
    }

    /** Ends an admitted request that was not started, or whose attempt provably did not run. */
    void endUnstarted(AdmittedRequest q, ResultCode code, Duration retryAfter, Effects out) {
        long stall = q.stallNanos(engine.now());
        engine.queue().remove(q, engine.now());
        end(q.request(), code, null, 0, "", stall, retryAfter, out);
    }

    /** Ends a request with the result of its attempt. */
    void endAttempted(AdmittedRequest q, ResultCode code, long chunks, Effects out) {
        long stall = q.stallNanos(engine.now());
        end(q.request(), code, q.entitlement(), chunks, "", stall, Duration.ZERO, out);
    }

    private void end(
            EngineRequest r,
            ResultCode code,
            Entitlement e,
            long chunks,
            String redirectTo,
            long stallNanos,
            Duration retryAfter,
            Effects out) {
        if (code.runState() == RunState.NOT_RUN) {
            out.add(new Effect.RecordMetric(CoreMetric.REFUSALS, code.name(), 1));
        }
        EngineResult result =
                new EngineResult(
                        code,
                        r.adapter(),
                        e == null ? 0 : e.version().version(),
                        e == null ? engine.configuration().number() : e.configurationNumber(),
                        e == null ? "" : engine.engineId(),
                        chunks,
                        redirectTo,
                        Duration.ofNanos(stallNanos),
                        retryAfter);
        engine.context().listener().ended(r, result, out);
    }
}
