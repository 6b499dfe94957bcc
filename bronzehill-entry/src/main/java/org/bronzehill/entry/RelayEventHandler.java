package org.bronzehill.entry;

import java.util.concurrent.TimeUnit;
import org.bronzehill.core.node.Input;
import org.bronzehill.entry.relay.RelayListener;
import org.bronzehill.entry.relay.RequestOutcome;
import org.bronzehill.entry.telemetry.AuditLog;
import org.bronzehill.entry.telemetry.Metrics;
import org.bronzehill.entry.telemetry.Tracing;
import org.bronzehill.entry.upstream.InputSink;

/** Reports events of the relay to the core, and records the outcomes of requests. */
final class RelayEventHandler implements RelayListener {

    /**
     * Lower codes, except for success, mean that the request failed validation, so its kind may be
     * unknown.
     */
    private static final int FIRST_CODE_AFTER_VALIDATION = 3000;

    private final Metrics metrics;
    private final Tracing tracing;
    private final AuditLog audit;
    private volatile InputSink inputs = input -> {};

    RelayEventHandler(Metrics metrics, Tracing tracing, AuditLog audit) {
        this.metrics = metrics;
        this.tracing = tracing;
        this.audit = audit;
    }

    void bind(InputSink newInputs) {
        inputs = newInputs;
    }

    @Override
    public void onProgress(String requestId, int attempt, long chunks) {
        inputs.accept(new Input.AnswerProgress(requestId, attempt, chunks));
    }

    @Override
    public void onAborted(String requestId) {
        inputs.accept(new Input.CallerDisconnected(requestId));
    }

    @Override
    public void onEnded(RequestOutcome outcome) {
        long nanos = System.nanoTime() - outcome.request().startNanos();
        audit.record(outcome, nanos);
        tracing.endRequest(outcome.request().requestId(), outcome.code());
        // An unknown kind is arbitrary text from the caller, so the number of label values would be
        // unbounded.
        boolean validKind =
                outcome.code().isSuccess()
                        || outcome.code().number() >= FIRST_CODE_AFTER_VALIDATION;
        String kind = validKind ? outcome.request().kind() : "";
        metrics.recordRequest(kind, outcome.code(), nanos / (double) TimeUnit.SECONDS.toNanos(1));
    }
}
