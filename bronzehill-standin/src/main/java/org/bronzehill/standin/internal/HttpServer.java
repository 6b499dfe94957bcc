package org.bronzehill.standin.internal;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;

/** HTTP/1.1 server whose open connections can be made silent to simulate unresponsive peers. */
public final class HttpServer implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(HttpServer.class);
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final int MAX_CLOSE_MS = 500;
    private static final AttributeKey<Boolean> SILENT = AttributeKey.valueOf("silent");

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private Channel listener;

    private HttpServer() {}

    /** Starts a server; port 0 selects a free port. */
    public static HttpServer start(String host, int port, Consumer<Exchange> handler)
            throws InterruptedException {
        HttpServer server = new HttpServer();
        server.listener =
                new ServerBootstrap()
                        .group(server.group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, 1024)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel ch) {
                                        server.channels.add(ch);
                                        ch.pipeline()
                                                .addLast(new SilenceHandler())
                                                .addLast(new HttpServerCodec())
                                                .addLast(new HttpServerKeepAliveHandler())
                                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                                .addLast(new Dispatcher(handler));
                                    }
                                })
                        .bind(host, port)
                        .sync()
                        .channel();
        return server;
    }

    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /**
     * Silences every open connection except that of {@code exchange}. A silent connection stays
     * open, but nothing is read from it or written to it.
     *
     * @return the number of connections that were silenced
     */
    public int silenceAllBut(Exchange exchange) {
        int silenced = 0;
        for (Channel ch : channels) {
            if (ch != exchange.channel() && ch.attr(SILENT).getAndSet(Boolean.TRUE) == null) {
                ch.config().setAutoRead(false);
                silenced++;
            }
        }
        return silenced;
    }

    /** Closes the listener and all connections, so that no later request is answered. */
    @Override
    public void close() {
        Future<?> listenerClosed = listener.close();
        Future<?> channelsClosed = channels.close();
        if (!isCalledByServer()) {
            // Silent connections do not close.
            listenerClosed.awaitUninterruptibly(MAX_CLOSE_MS);
            channelsClosed.awaitUninterruptibly(MAX_CLOSE_MS);
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private boolean isCalledByServer() {
        for (EventExecutor loop : group) {
            if (loop.inEventLoop()) {
                return true;
            }
        }
        return false;
    }

    private static final class SilenceHandler extends ChannelDuplexHandler {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            if (isSilent(ctx)) {
                ReferenceCountUtil.release(msg);
            } else {
                ctx.fireChannelRead(msg);
            }
        }

        @Override
        public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
            if (isSilent(ctx)) {
                ReferenceCountUtil.release(msg);
            } else {
                ctx.write(msg, promise);
            }
        }

        @Override
        public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
            if (!isSilent(ctx)) {
                ctx.close(promise);
            }
        }

        private static boolean isSilent(ChannelHandlerContext ctx) {
            return ctx.channel().attr(SILENT).get() != null;
        }
    }

    private static final class Dispatcher extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Consumer<Exchange> handler;

        Dispatcher(Consumer<Exchange> handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            Exchange exchange = Exchange.of(ctx.channel(), request);
            try {
                handler.accept(exchange);
            } catch (RuntimeException e) {
                LOG.errorf(e, "%s %s failed", exchange.method(), exchange.path());
                exchange.error(500, "internal");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.debugf(cause, "connection from %s failed", ctx.channel().remoteAddress());
            ctx.close();
        }
    }
}
