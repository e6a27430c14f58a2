package org.nettlering.wire.transport.netty;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.MessageToByteEncoder;
import io.netty.handler.codec.MessageToMessageDecoder;
import java.io.IOException;
import java.util.List;
import org.nettlering.wire.proto.FrameProto.Frame;

/** Puts the framing into a channel: a length of four bytes, then one protobuf message. */
final class FramePipeline {
    private static final int LENGTH_BYTES = 4;

    private FramePipeline() {}

    /**
     * Adds the handlers that turn bytes into frames and frames into bytes.
     *
     * @param pipeline the pipeline of a new channel, not null
     * @param maxFrameBytes the largest frame that is accepted
     */
    static void addTo(ChannelPipeline pipeline, int maxFrameBytes) {
        pipeline.addLast(new LengthFieldBasedFrameDecoder(maxFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new Decoder());
        pipeline.addLast(new Encoder());
    }

    /** Parses one message. */
    private static final class Decoder extends MessageToMessageDecoder<ByteBuf> {
        Decoder() {
            super(ByteBuf.class);
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out) throws IOException {
            out.add(Frame.parseFrom(new ByteBufInputStream(bytes)));
        }
    }

    /** Writes the length and the message. */
    private static final class Encoder extends MessageToByteEncoder<Frame> {
        Encoder() {
            super(Frame.class);
        }

        @Override
        protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out) throws IOException {
            int size = frame.getSerializedSize();
            out.ensureWritable(LENGTH_BYTES + size);
            out.writeInt(size);
            try (ByteBufOutputStream stream = new ByteBufOutputStream(out)) {
                frame.writeTo(stream);
            }
        }
    }
}
