package org.bronzehill.entry.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.MessageToMessageCodec;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.LongAdder;
import org.bronzehill.protocol.generated.Envelope;

/** Frame format of peer links: a 4-byte length, then an {@link Envelope}. */
final class PeerFrames {

    /**
     * The largest messages carry a request body of at most 1 MiB by default, or a configuration
     * shard of at most 1 MB; the limit leaves a margin.
     */
    static final int MAX_FRAME_BYTES = 8 << 20;

    private static final int LENGTH_BYTES = 4;

    private PeerFrames() {}

    /**
     * Adds the handlers of the frame format to a pipeline.
     *
     * @param bytes counter of the bytes sent and received
     */
    static void install(ChannelPipeline pipeline, LongAdder bytes) {
        pipeline.addLast(new ByteCounter(bytes));
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(
                        MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new EnvelopeCodec());
    }

    /** Counts the bytes sent and received on one connection. */
    private static final class ByteCounter extends ChannelDuplexHandler {
        private final LongAdder bytes;

        ByteCounter(LongAdder bytes) {
            this.bytes = bytes;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            count(message);
            context.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            count(message);
            context.write(message, promise);
        }

        private void count(Object message) {
            if (message instanceof ByteBuf buffer) {
                bytes.add(buffer.readableBytes());
            }
        }
    }

    /** Converts frames to envelopes and back. */
    private static final class EnvelopeCodec extends MessageToMessageCodec<ByteBuf, Envelope> {

        @Override
        protected void encode(ChannelHandlerContext context, Envelope message, List<Object> out) {
            out.add(Unpooled.wrappedBuffer(message.toByteArray()));
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> out)
                throws IOException {
            out.add(Envelope.parseFrom(new ByteBufInputStream(frame)));
        }
    }
}
