package org.bronzehill.core.node;

import java.time.Duration;
import org.bronzehill.core.model.Provenance;
import org.bronzehill.core.result.ResultCode;

/** Answers requests that the instance refuses because of its lifecycle phase. */
final class Refusals {

    private final CoreContext context;

    Refusals(CoreContext context) {
        this.context = context;
    }

    void refuse(String requestId, String adapter, ResultCode code, Effects out) {
        long configurationNumber = context.configuration().number();
        out.add(
                new Effect.Answer(
                        requestId,
                        0,
                        code,
                        new Provenance(adapter, 0, configurationNumber, "", context.selfId()),
                        -1,
                        null,
                        Duration.ZERO,
                        Duration.ZERO,
                        context.readiness().reason()));
        out.add(new Effect.RecordMetric(CoreMetric.REFUSALS, code.name(), 1));
    }
}
