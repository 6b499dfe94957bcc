package org.bronzehill.entry.telemetry;

import io.opentelemetry.api.OpenTelemetry;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.exporter.logging.otlp.OtlpJsonLoggingSpanExporter;
import io.opentelemetry.exporter.otlp.trace.OtlpGrpcSpanExporter;
import io.opentelemetry.sdk.OpenTelemetrySdk;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SdkTracerProviderBuilder;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Input;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.protocol.generated.Envelope;

/** Creates one span for each hop and attempt of a request, linked by W3C trace context. */
public final class Tracing implements AutoCloseable {

    private static final String TRACEPARENT = "traceparent";
    private static final AttributeKey<String> REQUEST_ID = AttributeKey.stringKey("request.id");

    /**
     * Largest number of open request spans, and also of open attempt spans; a request or attempt
     * beyond it has no span.
     */
    private static final int MAX_SPANS = 16_384;

    private final Map<String, Span> requestSpans = new ConcurrentHashMap<>();
    private final Map<Long, Span> attemptSpans = new ConcurrentHashMap<>();
    private final Tracer tracer;
    private final AutoCloseable provider;

    /** Destination of spans. */
    public enum Exporter {
        OFF,
        LOGGING,
        OTLP
    }

    private Tracing(OpenTelemetry telemetry, AutoCloseable provider) {
        this.tracer = telemetry.getTracer("org.bronzehill.entry");
        this.provider = provider;
    }

    /**
     * Creates the tracing of an instance. Trace context is propagated even with {@link
     * Exporter#OFF}.
     */
    public static Tracing create(String instance, Exporter exporter, String endpoint) {
        SdkTracerProviderBuilder builder =
                SdkTracerProvider.builder()
                        .setResource(
                                Resource.create(
                                        Attributes.of(
                                                AttributeKey.stringKey("service.name"),
                                                "bronzehill-entry",
                                                AttributeKey.stringKey("service.instance.id"),
                                                instance)));
        if (exporter != Exporter.OFF) {
            builder.addSpanProcessor(
                    BatchSpanProcessor.builder(createExporter(exporter, endpoint)).build());
        }
        SdkTracerProvider provider = builder.build();
        return new Tracing(
                OpenTelemetrySdk.builder().setTracerProvider(provider).build(), provider);
    }

    private static SpanExporter createExporter(Exporter exporter, String endpoint) {
        return exporter == Exporter.LOGGING
                ? OtlpJsonLoggingSpanExporter.create()
                : OtlpGrpcSpanExporter.builder().setEndpoint(endpoint).build();
    }

    /** Starts the span of a caller's request. */
    public void startRequest(String requestId, String name, String traceparent) {
        start(requestId, name, SpanKind.SERVER, traceparent);
    }

    private void start(String requestId, String name, SpanKind kind, String traceparent) {
        if (requestSpans.size() >= MAX_SPANS) {
            return;
        }
        Span span =
                tracer.spanBuilder(name)
                        .setSpanKind(kind)
                        .setParent(parent(traceparent))
                        .setAttribute(REQUEST_ID, requestId)
                        .startSpan();
        Span previous = requestSpans.put(requestId, span);
        if (previous != null) {
            previous.end();
        }
    }

    private static Context parent(String traceparent) {
        return W3CTraceContextPropagator.getInstance()
                .extract(Context.root(), traceparent, TraceparentGetter.INSTANCE);
    }

    /** Ends the span of a caller's request, of a dispatched request or of a forwarded call. */
    public void endRequest(String requestId, ResultCode code) {
        Span span = requestSpans.remove(requestId);
        if (span != null) {
            span.setAttribute("result", code.number());
            if (!code.isSuccess()) {
                span.setStatus(StatusCode.ERROR, code.name());
            }
            span.end();
        }
    }

    /** Starts a span if the message dispatches a request or forwards a call to this instance. */
    public void onReceive(Envelope envelope) {
        if (envelope.hasDispatch()) {
            String id = envelope.getDispatch().getRequestId();
            start(id, "dispatch", SpanKind.CONSUMER, envelope.getTraceparent());
        } else if (envelope.hasActForward()) {
            String id = envelope.getActForward().getCall().getRequestId();
            start(id, "act", SpanKind.CONSUMER, envelope.getTraceparent());
        }
    }

    /**
     * Returns the trace context to send with a message; empty if there is none. Also ends the span
     * of a dispatched request or forwarded call if the message reports its end.
     */
    public String onSend(Envelope.Builder message) {
        if (message.hasDispatch()) {
            return traceparent(message.getDispatch().getRequestId());
        }
        if (message.hasActForward()) {
            return traceparent(message.getActForward().getCall().getRequestId());
        }
        if (message.hasActStatus() && !message.getActStatus().getRequestId().isEmpty()) {
            String id = message.getActStatus().getRequestId();
            String context = traceparent(id);
            endRequest(id, ResultCode.ofNumber(message.getActStatus().getResultCode()));
            return context;
        }
        if (message.hasDispatchEnd()) {
            String id = message.getDispatchEnd().getRequestId();
            String context = traceparent(id);
            endRequest(id, ResultCode.ofNumber(message.getDispatchEnd().getResultCode()));
            return context;
        }
        return "";
    }

    /** Returns the trace context of a request's span; empty if it has no span. */
    public String traceparent(String requestId) {
        return context(requestSpans.get(requestId));
    }

    private static String context(Span span) {
        if (span == null || !span.getSpanContext().isValid()) {
            return "";
        }
        String[] header = {""};
        W3CTraceContextPropagator.getInstance()
                .inject(
                        Context.root().with(span),
                        header,
                        (carrier, key, value) -> {
                            if (key.equals(TRACEPARENT)) {
                                carrier[0] = value;
                            }
                        });
        return header[0];
    }

    /** Starts the span of an attempt at an engine and returns its trace context. */
    public String startAttempt(Effect.StartAttempt start) {
        Span parent = requestSpans.get(start.requestId());
        if (attemptSpans.size() >= MAX_SPANS) {
            return "";
        }
        Span span =
                tracer.spanBuilder("attempt")
                        .setSpanKind(SpanKind.CLIENT)
                        .setParent(parent == null ? Context.root() : Context.root().with(parent))
                        .setAttribute(REQUEST_ID, start.requestId())
                        .setAttribute("upstream", start.engine())
                        .startSpan();
        attemptSpans.put(start.attemptId(), span);
        return context(span);
    }

    /** Ends the span of an attempt if the input reports its end. */
    public void onInput(Input input) {
        if (input instanceof Input.AttemptFinished i) {
            end(attemptSpans.remove(i.attemptId()), "");
        } else if (input instanceof Input.AttemptFailed i) {
            end(attemptSpans.remove(i.attemptId()), i.reason().name());
        }
    }

    private static void end(Span span, String failure) {
        if (span != null) {
            if (!failure.isEmpty()) {
                span.setStatus(StatusCode.ERROR, failure);
            }
            span.end();
        }
    }

    /** Returns the number of open spans. */
    public int openSpans() {
        return requestSpans.size() + attemptSpans.size();
    }

    @Override
    public void close() throws Exception {
        provider.close();
    }

    private enum TraceparentGetter implements TextMapGetter<String> {
        INSTANCE;

        @Override
        public Iterable<String> keys(String carrier) {
            return List.of(TRACEPARENT);
        }

        @Override
        public String get(String carrier, String key) {
            return key.equals(TRACEPARENT) ? carrier : null;
        }
    }
}
