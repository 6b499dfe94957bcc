package org.bronzehill.entry.http;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.bronzehill.core.model.Provenance;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Input;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.entry.relay.Reply;
import org.bronzehill.entry.relay.RequestInfo;
import org.bronzehill.entry.relay.SinkTable;
import org.bronzehill.entry.runtime.CoreThread;
import org.bronzehill.entry.telemetry.AuditLog;
import org.bronzehill.entry.telemetry.Tracing;

/** Submits callers' requests to the core, and refuses them when a table or buffer is full. */
public final class Gateway {

    /**
     * Largest total size of request bodies, a quarter of the heap. Bodies are kept for retries
     * until their requests end.
     */
    private static final long MAX_TOTAL_BODY_BYTES = Runtime.getRuntime().maxMemory() / 4;

    private final AtomicLong sequence = new AtomicLong();
    private final AtomicLong totalBodyBytes = new AtomicLong();
    private final String instanceId;
    private final String idPrefix;
    private final CoreThread core;
    private final SinkTable sinks;
    private final AuditLog audit;
    private final Tracing tracing;

    private Gateway(
            String instanceId,
            long incarnation,
            CoreThread core,
            SinkTable sinks,
            AuditLog audit,
            Tracing tracing) {
        this.instanceId = instanceId;
        this.idPrefix = instanceId + '-' + Long.toString(incarnation, Character.MAX_RADIX) + '-';
        this.core = core;
        this.sinks = sinks;
        this.audit = audit;
        this.tracing = tracing;
    }

    /** Creates the gateway of one incarnation of an instance. */
    public static Gateway create(
            String instanceId,
            long incarnation,
            CoreThread core,
            SinkTable sinks,
            AuditLog audit,
            Tracing tracing) {
        return new Gateway(instanceId, incarnation, core, sinks, audit, tracing);
    }

    /** A submitted or refused request with its future reply. */
    record SubmittedRequest(RequestInfo info, CompletableFuture<Reply> reply) {}

    /**
     * A request for the core.
     *
     * @param spanName name of the request's span
     * @param traceparent trace context from the caller; empty for none
     * @param stream whether the answer is relayed as an event stream
     */
    record CoreRequest(
            String spanName, String traceparent, boolean stream, byte[] body, Input input) {}

    /**
     * Creates the data of a new request. Its id contains the incarnation, which makes it unique
     * across restarts.
     */
    RequestInfo newRequestInfo(String kind, String adapter) {
        String id = idPrefix + Long.toString(sequence.incrementAndGet(), Character.MAX_RADIX);
        return new RequestInfo(id, kind, adapter, System.nanoTime());
    }

    /** Submits a request to the core, or refuses it if a table or buffer is full. */
    SubmittedRequest submit(RequestInfo info, CoreRequest request) {
        long bytes = request.body().length;
        if (totalBodyBytes.addAndGet(bytes) > MAX_TOTAL_BODY_BYTES) {
            totalBodyBytes.addAndGet(-bytes);
            return new SubmittedRequest(info, refuseWithoutEntry(info, ResultCode.TABLE_FULL));
        }
        SubmittedRequest submitted = admit(info, request);
        submitted.reply().whenComplete((r, e) -> releaseBody(r, bytes));
        return submitted;
    }

    private void releaseBody(Reply reply, long bytes) {
        if (reply == null) {
            totalBodyBytes.addAndGet(-bytes);
        } else {
            reply.whenDelivered().whenComplete((r, e) -> totalBodyBytes.addAndGet(-bytes));
        }
    }

    private SubmittedRequest admit(RequestInfo info, CoreRequest request) {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        if (!sinks.open(info, request.stream(), reply)) {
            return new SubmittedRequest(info, refuseWithoutEntry(info, ResultCode.TABLE_FULL));
        }
        tracing.startRequest(info.requestId(), request.spanName(), request.traceparent());
        if (audit.isBacklogged() || !core.offerRequest(request.input())) {
            sinks.answer(refusalAnswer(info, ResultCode.TABLE_FULL, ""));
        }
        return new SubmittedRequest(info, reply);
    }

    /** Refuses a request without passing it to the core. */
    SubmittedRequest refuse(RequestInfo info, ResultCode code, String detail) {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        if (!sinks.open(info, false, reply)) {
            return new SubmittedRequest(info, refuseWithoutEntry(info, ResultCode.TABLE_FULL));
        }
        sinks.answer(refusalAnswer(info, code, detail));
        return new SubmittedRequest(info, reply);
    }

    private CompletableFuture<Reply> refuseWithoutEntry(RequestInfo info, ResultCode code) {
        return CompletableFuture.completedFuture(
                sinks.refuseWithoutEntry(info, refusalAnswer(info, code, "")));
    }

    private Effect.Answer refusalAnswer(RequestInfo info, ResultCode code, String detail) {
        return new Effect.Answer(
                info.requestId(),
                0,
                code,
                new Provenance(info.adapter(), 0, 0, "", instanceId),
                -1,
                null,
                Duration.ZERO,
                Duration.ZERO,
                detail);
    }

    /** Ends the request of a caller that has closed its connection. */
    void callerDisconnected(String requestId) {
        sinks.callerDisconnected(requestId);
    }

    String instanceId() {
        return instanceId;
    }
}
