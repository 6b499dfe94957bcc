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
final class CallerConnectionMonitor {

    private static final long CHECK_INTERVAL_SECONDS = 1;

    private CallerConnectionMonitor() {}

    /**
     * Calls {@code onDisconnected} if the connection closes before {@code answerComplete}
     * completes, and closes the connection if the caller reads no data for {@code stallTimeout}.
     */
    static void monitor(
            HttpRequest<?> request,
            CompletableFuture<?> answerComplete,
            Duration stallTimeout,
            Runnable onDisconnected) {
        if (request instanceof NettyHttpRequest<?> netty) {
            Channel channel = netty.getChannelHandlerContext().channel();
            GenericFutureListener<Future<? super Void>> listener = f -> onDisconnected.run();
            channel.closeFuture().addListener(listener);
            WriteStallDetector stallDetector = new WriteStallDetector(channel, stallTimeout);
            Future<?> checkTask =
                    channel.eventLoop()
                            .scheduleWithFixedDelay(
                                    stallDetector::check,
                                    CHECK_INTERVAL_SECONDS,
                                    CHECK_INTERVAL_SECONDS,
                                    TimeUnit.SECONDS);
            answerComplete.whenComplete(
                    (r, e) -> {
                        channel.closeFuture().removeListener(listener);
                        checkTask.cancel(false);
                    });
        }
    }

    /** Closes a connection whose full write buffer makes no progress. */
    private static final class WriteStallDetector {
        private final Channel channel;
        private final long stallTimeoutNanos;
        private long previousBytesToDrain;
        private long lastProgressNanos = System.nanoTime();

        WriteStallDetector(Channel channel, Duration stallTimeout) {
            this.channel = channel;
            this.stallTimeoutNanos = stallTimeout.toNanos();
        }

        void check() {
            long now = System.nanoTime();
            long bytesToDrain = channel.bytesBeforeWritable();
            if (bytesToDrain == 0 || bytesToDrain != previousBytesToDrain) {
                previousBytesToDrain = bytesToDrain;
                lastProgressNanos = now;
            } else if (now - lastProgressNanos > stallTimeoutNanos) {
                channel.close();
            }
        }
    }
}
