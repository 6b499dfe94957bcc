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

    private static final AttributeKey<Boolean> USED = AttributeKey.valueOf("pooledReadUsed");

    private final HttpCall call;
    private final HttpListener listener;
    private final EventLoop loop;
    private final ReadConnections connections;
    private SimpleChannelPool pool;
    private Channel channel;
    private boolean reused;
    private boolean written;
    private boolean ended;
    private ScheduledFuture<?> deadline;
    private ScheduledFuture<?> silence;

    PooledRead(HttpCall call, HttpListener listener, EventLoop loop, ReadConnections connections) {
        this.call = call;
        this.listener = listener;
        this.loop = loop;
        this.connections = connections;
    }

    void begin() {
        deadline = loop.schedule(this::timedOut, call.deadline().toMillis(), TimeUnit.MILLISECONDS);
        acquire();
    }

    private void acquire() {
        SimpleChannelPool source = connections.pool(call.uri());
        source.acquire(loop.<Channel>newPromise())
                .addListener((Future<Channel> f) -> acquired(source, f));
    }

    private void acquired(SimpleChannelPool source, Future<Channel> future) {
        if (!future.isSuccess()) {
            end(FailureReason.NOT_SENT, String.valueOf(future.cause().getMessage()));
            return;
        }
        if (ended) {
            source.release(future.getNow());
            return;
        }
        pool = source;
        channel = future.getNow();
        channel.attr(ReadConnections.CURRENT).set(this);
        reused = channel.attr(USED).getAndSet(true) != null;
        if (reused) {
            // If the connection has stopped delivering data, half of the time remains for a retry
            // on a new connection.
            silence =
                    loop.schedule(
                            () -> broken("used connection is silent"),
                            call.silence().toMillis() / 2,
                            TimeUnit.MILLISECONDS);
        }
        written = true;
        channel.writeAndFlush(HttpExchange.request(call, true));
    }

    void answered(FullHttpResponse response) {
        boolean keep = HttpUtil.isKeepAlive(response);
        byte[] body = ByteBufUtil.getBytes(response.content());
        ended = true;
        detach(keep);
        deadline.cancel(false);
        listener.onHead(response.status().code(), HttpExchange.headers(response));
        if (body.length > 0) {
            listener.onData(body);
        }
        listener.onComplete();
    }

    /** Fails the read, or retries it on a new connection if this one was reused. */
    void broken(String detail) {
        boolean again = reused;
        detach(false);
        if (again) {
            connections.discard(call.uri());
            acquire();
        } else {
            end(FailureReason.BROKEN, detail);
        }
    }

    private void timedOut() {
        end(written ? FailureReason.TIMED_OUT : FailureReason.NOT_SENT, "deadline");
    }

    private void end(FailureReason reason, String detail) {
        if (!ended) {
            ended = true;
            detach(false);
            deadline.cancel(false);
            listener.onFailure(reason, detail);
        }
    }

    private void detach(boolean keep) {
        if (silence != null) {
            silence.cancel(false);
            silence = null;
        }
        if (channel != null) {
            Channel old = channel;
            channel = null;
            old.attr(ReadConnections.CURRENT).set(null);
            if (!keep) {
                old.close();
            }
            pool.release(old);
        }
    }
}
