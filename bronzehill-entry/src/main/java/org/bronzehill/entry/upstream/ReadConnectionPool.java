package org.bronzehill.entry.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.pool.AbstractChannelPoolHandler;
import io.netty.channel.pool.AbstractChannelPoolMap;
import io.netty.channel.pool.SimpleChannelPool;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.AttributeKey;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Pool of persistent connections for idempotent reads of bounded size. Calls that may have an
 * effect use an {@link HttpExchange} instead. All state is confined to one event loop.
 */
final class ReadConnectionPool {

    static final AttributeKey<PooledRead> CURRENT_READ = AttributeKey.valueOf("pooledRead");

    /**
     * Regular reads are repeated about once per second or more often, so a connection that is idle
     * for this timeout belongs to an address that is no longer read regularly.
     */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);

    private final EventLoop loop;
    private final Pools pools = new Pools();

    private ReadConnectionPool(EventLoop loop) {
        this.loop = loop;
    }

    /** Creates a pool without open connections. */
    static ReadConnectionPool create(EventLoop loop) {
        return new ReadConnectionPool(loop);
    }

    /** Starts a read; a read that fails on a reused connection is retried on a new one. */
    void read(HttpCall call, HttpListener listener) {
        if (!"GET".equals(call.method())) {
            throw new IllegalArgumentException(call.method() + " is not an idempotent read");
        }
        PooledRead read = new PooledRead(call, listener, loop, this);
        loop.execute(read::begin);
    }

    SimpleChannelPool pool(URI uri) {
        return pools.get(address(uri));
    }

    /** Closes all idle connections to an address, so that the next read uses a new one. */
    void discardIdle(URI uri) {
        pools.remove(address(uri));
    }

    /** Returns an unresolved address, so that each connection resolves the host name again. */
    private static InetSocketAddress address(URI uri) {
        return InetSocketAddress.createUnresolved(uri.getHost(), uri.getPort());
    }

    private final class Pools extends AbstractChannelPoolMap<InetSocketAddress, SimpleChannelPool> {
        @Override
        protected SimpleChannelPool newPool(InetSocketAddress address) {
            Bootstrap bootstrap =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .option(
                                    ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                    HttpExchange.CONNECT_TIMEOUT_MS)
                            .remoteAddress(address);
            return new SimpleChannelPool(bootstrap, new PipelineInstaller(address));
        }
    }

    private final class PipelineInstaller extends AbstractChannelPoolHandler {
        private final InetSocketAddress address;

        PipelineInstaller(InetSocketAddress address) {
            this.address = address;
        }

        @Override
        public void channelCreated(Channel channel) {
            channel.pipeline()
                    .addLast(
                            new IdleStateHandler(
                                    0, 0, IDLE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS))
                    .addLast(new HttpClientCodec())
                    .addLast(new HttpObjectAggregator(BodyCollector.MAX_BODY_BYTES))
                    .addLast(new ResponseHandler(address));
        }
    }

    /** Passes the events of a connection to the read that uses it. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final InetSocketAddress address;

        ResponseHandler(InetSocketAddress address) {
            this.address = address;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            PooledRead read = context.channel().attr(CURRENT_READ).get();
            if (read == null) {
                context.close();
            } else {
                read.onResponse(response);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            onConnectionFailed(context, "connection closed before the answer was complete");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            onConnectionFailed(context, String.valueOf(cause.getMessage()));
            context.close();
        }

        private void onConnectionFailed(ChannelHandlerContext context, String detail) {
            PooledRead read = context.channel().attr(CURRENT_READ).get();
            if (read != null) {
                read.onConnectionFailed(detail);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof IdleStateEvent
                    && context.channel().attr(CURRENT_READ).get() == null) {
                pools.remove(address);
                context.close();
            }
        }
    }
}
