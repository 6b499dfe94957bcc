package org.bronzehill.entry.upstream;

import io.netty.channel.EventLoopGroup;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.FailureReason;
import org.bronzehill.core.node.Input;

/** HTTP client of the application runners. */
public final class ApplicationRunnerClient {

    private static final byte[] NO_BODY = {};

    private final EventLoopGroup loops;
    private final UpstreamUris uris;
    private final InputSink inputs;

    private ApplicationRunnerClient(EventLoopGroup loops, UpstreamUris uris, InputSink inputs) {
        this.loops = loops;
        this.uris = uris;
        this.inputs = inputs;
    }

    /** Creates a client that reports to the core through {@code inputs}. */
    public static ApplicationRunnerClient create(
            EventLoopGroup loops, UpstreamUris uris, InputSink inputs) {
        return new ApplicationRunnerClient(loops, uris, inputs);
    }

    /**
     * Calls an operation of an application service.
     *
     * @param traceparent trace context of the call; empty for none
     */
    public void call(Effect.CallService call, String traceparent) {
        Map<String, String> headers = new HashMap<>();
        headers.put("Content-Type", call.contentType());
        headers.put("X-Request-Id", call.requestId());
        if (!call.key().isEmpty()) {
            headers.put("Idempotency-Key", call.key());
        }
        if (!traceparent.isEmpty()) {
            headers.put("traceparent", traceparent);
        }
        String path = "/services/" + encode(call.service()) + '/' + encode(call.operation());
        send(
                call.callId(),
                call.upstream(),
                uri ->
                        new HttpCall(
                                "POST",
                                uri.resolve(path),
                                headers,
                                call.body(),
                                call.deadline(),
                                call.deadline()));
    }

    /** Looks up, by its idempotency key, a call that must run at most once. */
    public void lookUp(Effect.LookupAct lookup) {
        String path = "/services/" + encode(lookup.service()) + "/acts/" + encode(lookup.key());
        send(
                lookup.callId(),
                lookup.upstream(),
                uri ->
                        new HttpCall(
                                "GET",
                                uri.resolve(path),
                                Map.of(),
                                NO_BODY,
                                lookup.deadline(),
                                lookup.deadline()));
    }

    private interface CallFactory {
        HttpCall create(URI base);
    }

    private void send(long callId, String upstream, CallFactory factory) {
        Optional<URI> base = uris.of(upstream);
        if (base.isEmpty()) {
            inputs.accept(
                    new Input.ServiceFailed(callId, FailureReason.NOT_SENT, "unknown upstream"));
            return;
        }
        HttpExchange.prepare(
                        factory.create(base.get()),
                        BodyCollector.create(
                                response -> inputs.accept(toInput(callId, response)),
                                (reason, detail) ->
                                        inputs.accept(
                                                new Input.ServiceFailed(callId, reason, detail))),
                        loops.next())
                .begin();
    }

    private static Input toInput(long callId, BodyCollector.Response response) {
        return new Input.ServiceAnswered(
                callId,
                new Input.ServiceAnswer(
                        response.status(),
                        response.headers().getOrDefault("content-type", "application/octet-stream"),
                        response.body(),
                        response.headers()));
    }

    private static String encode(String segment) {
        return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
