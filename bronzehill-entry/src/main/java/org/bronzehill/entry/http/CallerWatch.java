package org.bronzehill.entry.http;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.server.netty.NettyHttpRequest;
import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GenericFutureListener;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Monitors a caller's connection until its answer is complete. */
final class CallerWatch {

    private static final long CHECK_SECONDS = 1;

    private CallerWatch() {}

    /**
     * Calls {@code onGone} if the connection closes before {@code done} completes, and closes the
     * connection if the caller reads no data for {@code limit}.
     */
    static void watch(
            HttpRequest<?> request, CompletableFuture<?> done, Duration limit, Runnable onGone) {
        if (request instanceof NettyHttpRequest<?> netty) {
            Channel channel = netty.getChannelHandlerContext().channel();
            GenericFutureListener<Future<? super Void>> listener = f -> onGone.run();
            channel.closeFuture().addListener(listener);
            WriteProgress progress = new WriteProgress(channel, limit);
            Future<?> checks =
                    channel.eventLoop()
                            .scheduleWithFixedDelay(
                                    progress::check,
                                    CHECK_SECONDS,
                                    CHECK_SECONDS,
                                    TimeUnit.SECONDS);
            done.whenComplete(
                    (r, e) -> {
                        channel.closeFuture().removeListener(listener);
                        checks.cancel(false);
                    });
        }
    }

    /** Closes a connection whose full write buffer makes no progress. */
    private static final class WriteProgress {
        private final Channel channel;
        private final long limitNanos;
        private long pending;
        private long changedNanos = System.nanoTime();

        WriteProgress(Channel channel, Duration limit) {
            this.channel = channel;
            this.limitNanos = limit.toNanos();
        }

        void check() {
            long now = System.nanoTime();
            long present = channel.bytesBeforeWritable();
            if (present == 0 || present != pending) {
                pending = present;
                changedNanos = now;
            } else if (now - changedNanos > limitNanos) {
                channel.close();
            }
        }
    }
}
