package org.bronzehill.entry.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import org.bronzehill.protocol.generated.Envelope;

/**
 * Outgoing link to one peer. Messages are written in the order in which they were queued; messages
 * on a connection that fails are lost. All state except the counters is confined to one event loop.
 */
final class PeerLink {

    /** A peer in the same region accepts a connection within a few milliseconds. */
    private static final int CONNECT_TIMEOUT_MS = 250;

    /** Limit of the bytes queued for one peer: a few dozen of the largest request bodies. */
    private static final long MAX_QUEUED_BYTES = 32 << 20;

    private final String instance;
    private final EventLoop loop;
    private final Supplier<Optional<InetSocketAddress>> address;
    private final PeerListener listener;
    private final int maxQueuedMessages;
    private final LongAdder bytesSent;
    private final AtomicInteger queued = new AtomicInteger();
    private final AtomicLong queuedBytes = new AtomicLong();
    private final Queue<Envelope> queue = new ArrayDeque<>();
    private Channel channel;
    private boolean connecting;
    private boolean closed;

    PeerLink(
            String instance,
            EventLoop loop,
            Supplier<Optional<InetSocketAddress>> address,
            PeerListener listener,
            int maxQueuedMessages,
            LongAdder bytesSent) {
        this.instance = instance;
        this.loop = loop;
        this.address = address;
        this.listener = listener;
        this.maxQueuedMessages = maxQueuedMessages;
        this.bytesSent = bytesSent;
    }

    boolean send(Envelope envelope, boolean newConnection) {
        long bytes = envelope.getSerializedSize();
        boolean full = queuedBytes.addAndGet(bytes) > MAX_QUEUED_BYTES;
        if (queued.incrementAndGet() > maxQueuedMessages || full) {
            decrementQueued(envelope);
            return false;
        }
        loop.execute(() -> enqueue(envelope, newConnection));
        return true;
    }

    int queued() {
        return queued.get();
    }

    void close() {
        loop.execute(
                () -> {
                    closed = true;
                    dropQueue();
                    closeChannel();
                });
    }

    private void enqueue(Envelope envelope, boolean newConnection) {
        if (closed) {
            decrementQueued(envelope);
            return;
        }
        queue.add(envelope);
        if (newConnection) {
            closeChannel();
        }
        flush();
    }

    private void flush() {
        if (channel == null) {
            connect();
            return;
        }
        boolean written = false;
        while (!queue.isEmpty() && channel.isWritable()) {
            Envelope next = queue.remove();
            channel.write(next).addListener(f -> decrementQueued(next));
            written = true;
        }
        if (written) {
            channel.flush();
        }
    }

    private void connect() {
        Optional<InetSocketAddress> target = address.get();
        if (connecting || queue.isEmpty()) {
            return;
        }
        if (target.isEmpty()) {
            dropQueueAndReportUnreachable();
            return;
        }
        connecting = true;
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(1 << 18, 1 << 20))
                .handler(new Initializer())
                .connect(target.get())
                .addListener((ChannelFuture f) -> connected(f));
    }

    private void connected(ChannelFuture future) {
        connecting = false;
        if (closed) {
            future.channel().close();
        } else if (future.isSuccess()) {
            channel = future.channel();
            flush();
        } else {
            dropQueueAndReportUnreachable();
        }
    }

    private void dropQueueAndReportUnreachable() {
        dropQueue();
        listener.onUnreachable(instance);
    }

    private void dropQueue() {
        queue.forEach(this::decrementQueued);
        queue.clear();
    }

    private void decrementQueued(Envelope envelope) {
        queued.decrementAndGet();
        queuedBytes.addAndGet(-envelope.getSerializedSize());
    }

    private void closeChannel() {
        Channel old = channel;
        channel = null;
        if (old != null) {
            old.close();
        }
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel newChannel) {
            PeerFrames.install(newChannel.pipeline(), bytesSent);
            newChannel.pipeline().addLast(new ConnectionHandler());
        }
    }

    /** Reports a closed connection, and resumes writing when the write buffer has drained. */
    private final class ConnectionHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (context.channel() == channel) {
                channel = null;
                dropQueue();
                listener.onUnreachable(instance);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (context.channel() == channel && channel.isWritable()) {
                flush();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
