package org.bronzehill.entry.http;

import io.micronaut.core.annotation.Nullable;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.PathVariable;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Produces;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.bronzehill.core.model.ServiceRequest;
import org.bronzehill.core.node.Input;
import org.bronzehill.core.result.ResultCode;
import org.bronzehill.entry.relay.RequestInfo;

/** Endpoint for calls to application services. */
@Controller
final class ServiceController {

    private static final byte[] NO_BODY = {};

    private final Gateway gateway;
    private final HttpSettings settings;

    ServiceController(Gateway gateway, HttpSettings settings) {
        this.gateway = gateway;
        this.settings = settings;
    }

    @Post("/v1/services/{service}/{operation}")
    @Consumes(MediaType.ALL)
    @Produces(MediaType.ALL)
    CompletableFuture<MutableHttpResponse<?>> call(
            HttpRequest<?> request,
            @PathVariable String service,
            @PathVariable String operation,
            @Nullable @Body byte[] body) {
        Gateway.SubmittedRequest submitted =
                submitRequest(request, service, operation, body == null ? NO_BODY : body);
        CallerConnectionMonitor.monitor(
                request,
                submitted.reply(),
                settings.callerStallTimeout(),
                () -> gateway.callerDisconnected(submitted.info().requestId()));
        return submitted
                .reply()
                .thenApply(reply -> Responses.of(submitted.info(), gateway.instanceId(), reply));
    }

    private Gateway.SubmittedRequest submitRequest(
            HttpRequest<?> request, String service, String operation, byte[] body) {
        Either<ResultCode, CallerHeaders> headers = CallerHeaders.read(request.getHeaders(), "");
        if (headers.isLeft()) {
            return gateway.refuse(gateway.newRequestInfo("", ""), headers.getLeft(), "");
        }
        CallerHeaders callerHeaders = headers.get();
        RequestInfo info = gateway.newRequestInfo(callerHeaders.kind(), "");
        ServiceRequest call =
                new ServiceRequest(
                        info.requestId(),
                        callerHeaders.token(),
                        callerHeaders.kind(),
                        service,
                        operation,
                        callerHeaders.key(),
                        callerHeaders.deadline(),
                        body,
                        request.getContentType()
                                .map(MediaType::toString)
                                .orElse(MediaType.APPLICATION_JSON));
        return gateway.submit(
                info,
                new Gateway.CoreRequest(
                        "service call",
                        callerHeaders.traceparent(),
                        false,
                        body,
                        new Input.ServiceRequested(call)));
    }
}
