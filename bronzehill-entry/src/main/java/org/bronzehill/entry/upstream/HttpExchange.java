package org.bronzehill.entry.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.bronzehill.core.node.FailureReason;

/**
 * One HTTP request on a new connection. With a new connection, a request that was never written can
 * be distinguished from one whose connection failed later, and the request is not sent on a
 * connection that has stopped delivering data.
 */
final class HttpExchange {

    /**
     * The round trip to an upstream takes a few milliseconds, and TCP retransmits a lost SYN after
     * 1 s; the limit allows one retransmission.
     */
    static final int CONNECT_TIMEOUT_MS = 1_500;

    private final HttpCall call;
    private final HttpListener listener;
    private final EventLoop loop;
    private Channel channel;
    private ScheduledFuture<?> timeoutTask;
    private boolean written;
    private boolean ended;

    private HttpExchange(HttpCall call, HttpListener listener, EventLoop loop) {
        this.call = call;
        this.listener = listener;
        this.loop = loop;
    }

    /** Creates an exchange that {@link #begin} starts. */
    static HttpExchange prepare(HttpCall call, HttpListener listener, EventLoop loop) {
        return new HttpExchange(call, listener, loop);
    }

    /** Starts the request. */
    void begin() {
        loop.execute(this::connect);
    }

    /** Closes the connection; the listener receives {@link FailureReason#CANCELLED}. */
    void cancel() {
        loop.execute(() -> fail(FailureReason.CANCELLED, "cancelled"));
    }

    private void connect() {
        if (ended) {
            return;
        }
        timeoutTask =
                loop.schedule(
                        () ->
                                fail(
                                        written ? FailureReason.TIMED_OUT : FailureReason.NOT_SENT,
                                        "the deadline has passed"),
                        call.timeout().toMillis(),
                        TimeUnit.MILLISECONDS);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new Initializer())
                .connect(call.uri().getHost(), call.uri().getPort())
                .addListener((ChannelFuture f) -> connected(f));
    }

    private void connected(ChannelFuture future) {
        if (!future.isSuccess()) {
            fail(FailureReason.NOT_SENT, String.valueOf(future.cause().getMessage()));
            return;
        }
        channel = future.channel();
        if (ended) {
            channel.close();
            return;
        }
        written = true;
        channel.writeAndFlush(request(call, false));
    }

    /**
     * Converts a call to a Netty request.
     *
     * @param keepAlive whether the connection may be reused
     */
    static FullHttpRequest request(HttpCall call, boolean keepAlive) {
        String path = call.uri().getRawPath();
        String query = call.uri().getRawQuery();
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(call.method()),
                        query == null ? path : path + '?' + query,
                        Unpooled.wrappedBuffer(call.body()));
        request.headers().set(HttpHeaderNames.HOST, call.uri().getAuthority());
        HttpUtil.setKeepAlive(request, keepAlive);
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
        call.headers().forEach((n, v) -> request.headers().set(n, v));
        return request;
    }

    /** Returns the headers of a response with names in lower case. */
    static Map<String, String> headers(HttpResponse response) {
        Map<String, String> headers = new HashMap<>();
        response.headers()
                .forEach(h -> headers.put(h.getKey().toLowerCase(Locale.ROOT), h.getValue()));
        return headers;
    }

    private void fail(FailureReason reason, String detail) {
        if (!ended) {
            ended = true;
            close();
            listener.onFailure(reason, detail);
        }
    }

    private void complete() {
        if (!ended) {
            ended = true;
            close();
            listener.onComplete();
        }
    }

    private void close() {
        if (timeoutTask != null) {
            timeoutTask.cancel(false);
        }
        if (channel != null) {
            channel.close();
        }
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel newChannel) {
            newChannel
                    .pipeline()
                    .addLast(
                            new ReadTimeoutHandler(
                                    call.idleTimeout().toMillis(), TimeUnit.MILLISECONDS))
                    .addLast(new HttpClientCodec())
                    .addLast(new ResponseHandler());
        }
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (ended) {
                return;
            }
            if (message.decoderResult().isFailure()) {
                fail(FailureReason.BROKEN, "malformed answer: " + message.decoderResult().cause());
                return;
            }
            if (message instanceof HttpResponse response) {
                listener.onHead(response.status().code(), headers(response));
            }
            if (message instanceof HttpContent content) {
                ByteBuf data = content.content();
                if (data.isReadable()) {
                    listener.onData(ByteBufUtil.getBytes(data));
                }
                if (message instanceof LastHttpContent) {
                    complete();
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail(FailureReason.BROKEN, "connection closed before the answer was complete");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof ReadTimeoutException) {
                fail(FailureReason.SILENT, "no data for " + call.idleTimeout().toMillis() + " ms");
            } else {
                fail(FailureReason.BROKEN, String.valueOf(cause.getMessage()));
            }
        }
    }
}
