package org.bronzehill.entry.http;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.server.netty.NettyHttpRequest;
import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GenericFutureListener;
import java.util.concurrent.CompletableFuture;

/** Notices that a caller has closed its connection before its answer was complete. */
final class CallerWatch {

    private CallerWatch() {}

    /** Calls {@code onGone} if the connection closes before {@code done} completes. */
    static void watch(HttpRequest<?> request, CompletableFuture<?> done, Runnable onGone) {
        if (request instanceof NettyHttpRequest<?> netty) {
            Channel channel = netty.getChannelHandlerContext().channel();
            GenericFutureListener<Future<? super Void>> listener = f -> onGone.run();
            channel.closeFuture().addListener(listener);
            done.whenComplete((r, e) -> channel.closeFuture().removeListener(listener));
        }
    }
}
