package org.bronzehill.entry.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.LongAdder;
import org.bronzehill.protocol.generated.Envelope;
import org.jboss.logging.Logger;

/** Accepts the connections of peers and passes their messages to a listener. */
public final class PeerServer implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger(PeerServer.class);

    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final LongAdder bytesReceived = new LongAdder();
    private final EventLoopGroup loops;
    private final PeerListener listener;
    private Channel acceptor;

    private PeerServer(EventLoopGroup loops, PeerListener listener) {
        this.loops = loops;
        this.listener = listener;
    }

    /** Creates a server that does not listen yet. */
    public static PeerServer create(EventLoopGroup loops, PeerListener listener) {
        return new PeerServer(loops, listener);
    }

    /** Binds the port, or a free one for port 0, and returns the bound address. */
    public InetSocketAddress listen(String host, int port) {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(loops)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new Initializer());
        acceptor = bootstrap.bind(host, port).syncUninterruptibly().channel();
        return (InetSocketAddress) acceptor.localAddress();
    }

    /** Returns the number of bytes received on all connections since the start. */
    public long receivedBytes() {
        return bytesReceived.sum();
    }

    @Override
    public void close() {
        if (acceptor != null) {
            acceptor.close().syncUninterruptibly();
        }
        connections.close().syncUninterruptibly();
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            connections.add(channel);
            PeerFrames.install(channel.pipeline(), bytesReceived);
            channel.pipeline().addLast(new Receiver());
        }
    }

    private final class Receiver extends SimpleChannelInboundHandler<Envelope> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
            listener.onMessage(envelope);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.debugf("closing the peer connection from %s: %s", address(context), cause);
            context.close();
        }

        private Object address(ChannelHandlerContext context) {
            return context.channel().remoteAddress();
        }
    }
}
