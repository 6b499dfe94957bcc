package org.bronzehill.entry.http;

import io.micronaut.core.annotation.Nullable;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Produces;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.bronzehill.core.model.ModelRequest;
import org.bronzehill.core.node.Input;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.entry.relay.RequestInfo;

/** Endpoint for chat completions in the format of the OpenAI API. */
@Controller
final class ModelController {

    private static final byte[] NO_BODY = {};

    private final Gateway gateway;
    private final HttpSettings settings;

    ModelController(Gateway gateway, HttpSettings settings) {
        this.gateway = gateway;
        this.settings = settings;
    }

    @Post("/v1/chat/completions")
    @Consumes(MediaType.ALL)
    @Produces({MediaType.APPLICATION_JSON, MediaType.TEXT_EVENT_STREAM})
    CompletableFuture<MutableHttpResponse<?>> complete(
            HttpRequest<?> request, @Nullable @Body byte[] body) {
        Gateway.SubmittedRequest submitted = submitRequest(request, body == null ? NO_BODY : body);
        CallerConnectionMonitor.monitor(
                request,
                submitted.reply().thenCompose(r -> r.whenDelivered()),
                settings.callerStallTimeout(),
                () -> gateway.callerDisconnected(submitted.info().requestId()));
        return submitted
                .reply()
                .thenApply(reply -> Responses.of(submitted.info(), gateway.instanceId(), reply));
    }

    private Gateway.SubmittedRequest submitRequest(HttpRequest<?> request, byte[] body) {
        Either<ResultCode, CallerHeaders> headers =
                CallerHeaders.read(request.getHeaders(), settings.defaultKind());
        if (headers.isLeft()) {
            return gateway.refuse(gateway.newRequestInfo("", ""), headers.getLeft(), "");
        }
        CallerHeaders callerHeaders = headers.get();
        Either<String, ChatBody> parsed = ChatBody.parse(body);
        if (parsed.isLeft()) {
            return gateway.refuse(
                    gateway.newRequestInfo(callerHeaders.kind(), ""),
                    ResultCode.MALFORMED_REQUEST,
                    parsed.getLeft());
        }
        ChatBody chat = parsed.get();
        RequestInfo info = gateway.newRequestInfo(callerHeaders.kind(), chat.model());
        ModelRequest model =
                new ModelRequest(
                        info.requestId(),
                        callerHeaders.token(),
                        callerHeaders.kind(),
                        chat.model(),
                        callerHeaders.deadline(),
                        body,
                        chat.stream(),
                        chat.prefixHash(),
                        chat.maxTokens());
        return gateway.submit(
                info,
                new Gateway.CoreRequest(
                        "chat completion",
                        callerHeaders.traceparent(),
                        chat.stream(),
                        body,
                        new Input.ModelRequested(model)));
    }
}
