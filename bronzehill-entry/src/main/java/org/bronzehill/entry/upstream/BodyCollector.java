package org.bronzehill.entry.upstream;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.bronzehill.core.node.FailureReason;

/** Collects a complete HTTP response whose body has a bounded size. */
final class BodyCollector implements HttpListener {

    /**
     * Manifests and configuration shards are at most 1 MB, and reports of large engines stay below
     * 4 MB.
     */
    static final int MAX_BODY_BYTES = 8 << 20;

    /** A complete response; header names are in lower case. */
    record Response(int status, Map<String, String> headers, byte[] body) {
        Response {
            headers = Map.copyOf(headers);
        }
    }

    private final Consumer<Response> onResponse;
    private final BiConsumer<FailureReason, String> onFailed;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Map<String, String> headers = Map.of();
    private int status;
    private boolean tooLarge;

    private BodyCollector(
            Consumer<Response> onResponse, BiConsumer<FailureReason, String> onFailed) {
        this.onResponse = onResponse;
        this.onFailed = onFailed;
    }

    static BodyCollector create(
            Consumer<Response> onResponse, BiConsumer<FailureReason, String> onFailed) {
        return new BodyCollector(onResponse, onFailed);
    }

    @Override
    public void onHead(int newStatus, Map<String, String> newHeaders) {
        status = newStatus;
        headers = newHeaders;
    }

    @Override
    public void onData(byte[] data) {
        if (body.size() + data.length > MAX_BODY_BYTES) {
            tooLarge = true;
        } else {
            body.writeBytes(data);
        }
    }

    @Override
    public void onComplete() {
        if (tooLarge) {
            onFailed.accept(
                    FailureReason.BROKEN, "answer is larger than " + MAX_BODY_BYTES + " bytes");
        } else {
            onResponse.accept(new Response(status, headers, body.toByteArray()));
        }
    }

    @Override
    public void onFailure(FailureReason reason, String detail) {
        onFailed.accept(reason, detail);
    }
}
