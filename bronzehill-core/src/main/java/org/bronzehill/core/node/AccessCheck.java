package org.bronzehill.core.node;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.function.Supplier;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.KindSpec;
import org.bronzehill.core.admission.Entitlement;
import org.bronzehill.core.model.ModelRequest;
import org.bronzehill.core.model.ServiceRequest;
import org.bronzehill.core.result.ResultCode;

/** Authenticates callers and checks that the configuration in force permits their requests. */
final class AccessCheck {

    private final Supplier<Configuration> configuration;

    AccessCheck(Supplier<Configuration> configuration) {
        this.configuration = configuration;
    }

    /** The caller, request kind and effective deadline of a permitted request. */
    record Granted(Configuration.Caller caller, KindSpec kind, Duration deadline) {}

    Either<ResultCode, Granted> check(ModelRequest request) {
        Configuration current = configuration.get();
        if (request.body().length > current.limits().maxBodyBytes()) {
            return Either.left(ResultCode.BODY_TOO_LARGE);
        }
        return caller(current, request.token())
                .flatMap(
                        c ->
                                Entitlement.resolve(
                                                current,
                                                c.team().name(),
                                                c.name(),
                                                request.kind(),
                                                request.adapter())
                                        .flatMap(e -> granted(c, e.kind(), request.timeLeft())));
    }

    Either<ResultCode, Granted> check(ServiceRequest request) {
        Configuration current = configuration.get();
        if (request.body().length > current.limits().maxBodyBytes()) {
            return Either.left(ResultCode.BODY_TOO_LARGE);
        }
        Either<ResultCode, Configuration.Caller> caller = caller(current, request.token());
        if (caller.isLeft()) {
            return Either.left(caller.getLeft());
        }
        KindSpec kind = current.kind(request.kind()).getOrNull();
        if (kind == null) {
            return Either.left(ResultCode.UNKNOWN_KIND);
        }
        if (!caller.get().team().kinds().contains(kind.name())
                || !kind.service().equals(request.service())) {
            return Either.left(ResultCode.NOT_ENTITLED);
        }
        if (kind.onceOnly() && request.key().isEmpty()) {
            return Either.left(ResultCode.MISSING_KEY);
        }
        return granted(caller.get(), kind, request.timeLeft());
    }

    private static Either<ResultCode, Granted> granted(
            Configuration.Caller caller, KindSpec kind, Duration requestedDeadline) {
        if (requestedDeadline == null) {
            return Either.right(new Granted(caller, kind, kind.deadline()));
        }
        if (requestedDeadline.isNegative()
                || requestedDeadline.isZero()
                || requestedDeadline.compareTo(kind.deadline()) > 0) {
            return Either.left(ResultCode.BAD_DEADLINE);
        }
        return Either.right(new Granted(caller, kind, requestedDeadline));
    }

    private static Either<ResultCode, Configuration.Caller> caller(
            Configuration configuration, String token) {
        Option<Configuration.Caller> caller =
                token.isEmpty() ? Option.none() : configuration.caller(sha256(token));
        return caller.toEither(ResultCode.UNAUTHENTICATED);
    }

    private static String sha256(String token) {
        return HexFormat.of().formatHex(digest().digest(token.getBytes(StandardCharsets.UTF_8)));
    }

    /** Returns the fingerprint that identifies repeated requests which crash upstreams. */
    static byte[] fingerprint(String kind, String adapter, byte[] body) {
        MessageDigest digest = digest();
        digest.update(kind.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
        digest.update(adapter.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
        return digest.digest(body);
    }

    private static MessageDigest digest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }
}
