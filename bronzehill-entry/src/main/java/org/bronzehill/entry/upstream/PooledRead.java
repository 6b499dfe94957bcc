package org.bronzehill.entry.upstream;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.pool.SimpleChannelPool;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.Future;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.bronzehill.core.node.FailureReason;

/** One read on a connection that may be reused; confined to one event loop. */
final class PooledRead {

    private static final AttributeKey<Boolean> USED_BEFORE = AttributeKey.valueOf("pooledReadUsed");

    private final HttpCall call;
    private final HttpListener listener;
    private final EventLoop loop;
    private final ReadConnectionPool connections;
    private SimpleChannelPool pool;
    private Channel channel;
    private boolean reused;
    private boolean written;
    private boolean ended;
    private ScheduledFuture<?> timeoutTask;
    private ScheduledFuture<?> idleTimeoutTask;

    PooledRead(
            HttpCall call, HttpListener listener, EventLoop loop, ReadConnectionPool connections) {
        this.call = call;
        this.listener = listener;
        this.loop = loop;
        this.connections = connections;
    }

    void begin() {
        timeoutTask =
                loop.schedule(this::onTimeout, call.timeout().toMillis(), TimeUnit.MILLISECONDS);
        acquire();
    }

    private void acquire() {
        SimpleChannelPool source = connections.pool(call.uri());
        source.acquire(loop.<Channel>newPromise())
                .addListener((Future<Channel> f) -> acquired(source, f));
    }

    private void acquired(SimpleChannelPool source, Future<Channel> future) {
        if (!future.isSuccess()) {
            fail(FailureReason.NOT_SENT, String.valueOf(future.cause().getMessage()));
            return;
        }
        if (ended) {
            source.release(future.getNow());
            return;
        }
        pool = source;
        channel = future.getNow();
        channel.attr(ReadConnectionPool.CURRENT_READ).set(this);
        reused = channel.attr(USED_BEFORE).getAndSet(true) != null;
        if (reused) {
            // If the connection has stopped delivering data, half of the time remains for a retry
            // on a new connection.
            idleTimeoutTask =
                    loop.schedule(
                            () -> onConnectionFailed("no response on a reused connection"),
                            call.idleTimeout().toMillis() / 2,
                            TimeUnit.MILLISECONDS);
        }
        written = true;
        channel.writeAndFlush(HttpExchange.request(call, true));
    }

    void onResponse(FullHttpResponse response) {
        boolean keepAlive = HttpUtil.isKeepAlive(response);
        byte[] body = ByteBufUtil.getBytes(response.content());
        ended = true;
        releaseChannel(keepAlive);
        timeoutTask.cancel(false);
        listener.onHead(response.status().code(), HttpExchange.headers(response));
        if (body.length > 0) {
            listener.onData(body);
        }
        listener.onComplete();
    }

    /** Fails the read, or retries it on a new connection if this one was reused. */
    void onConnectionFailed(String detail) {
        boolean retry = reused;
        releaseChannel(false);
        if (retry) {
            connections.discardIdle(call.uri());
            acquire();
        } else {
            fail(FailureReason.BROKEN, detail);
        }
    }

    private void onTimeout() {
        fail(written ? FailureReason.TIMED_OUT : FailureReason.NOT_SENT, "the deadline has passed");
    }

    private void fail(FailureReason reason, String detail) {
        if (!ended) {
            ended = true;
            releaseChannel(false);
            timeoutTask.cancel(false);
            listener.onFailure(reason, detail);
        }
    }

    private void releaseChannel(boolean keepAlive) {
        if (idleTimeoutTask != null) {
            idleTimeoutTask.cancel(false);
            idleTimeoutTask = null;
        }
        if (channel != null) {
            Channel old = channel;
            channel = null;
            old.attr(ReadConnectionPool.CURRENT_READ).set(null);
            if (!keepAlive) {
                old.close();
            }
            pool.release(old);
        }
    }
}
