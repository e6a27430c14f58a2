package org.nettlering.wire.transport.netty;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.transport.TransportLimits;
import org.nettlering.wire.transport.link.ConnectionListener;
import org.nettlering.wire.transport.link.Dialer;

/** Opens TCP connections to one address. Thread-safe. */
public final class NettyDialer implements Dialer {
    /** Runs the connections. */
    private final EventLoopGroup group;

    /** The address of the peer. */
    private final InetSocketAddress address;

    /** The bounds. */
    private final TransportLimits limits;

    /**
     * Creates a dialer.
     *
     * @param group runs the connections, not null
     * @param address the address of the peer, not null
     * @param limits the bounds, not null
     */
    public NettyDialer(EventLoopGroup group, InetSocketAddress address, TransportLimits limits) {
        this.group = group;
        this.address = address;
        this.limits = limits;
    }

    @Override
    public void dial(ConnectionListener listener) {
        if (group.isShuttingDown()) {
            listener.closed("the network is closed");
            return;
        }
        ChannelFuture connecting = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        limits.silenceTimeout().toMillis())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        FramePipeline.addTo(channel.pipeline(), limits.maxFrameBytes());
                        channel.pipeline().addLast(new Inbound(listener, limits));
                    }
                })
                .connect(address);
        connecting.addListener(future -> {
            if (!future.isSuccess()) {
                listener.closed(String.valueOf(future.cause().getMessage()));
            }
        });
    }

    /** Passes the events of one channel on. */
    private static final class Inbound extends SimpleChannelInboundHandler<Frame> {
        /** Hears of the channel. */
        private final ConnectionListener listener;

        /** The bounds. */
        private final TransportLimits limits;

        /** Why the channel is about to end. */
        private String reason = "the peer closed the connection";

        Inbound(ConnectionListener listener, TransportLimits limits) {
            super(Frame.class);
            this.listener = listener;
            this.limits = limits;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            listener.opened(new NettyConnection(context.channel(), limits.maxQueuedBytes(), () -> {}));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            listener.received(frame);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            listener.closed(reason);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            reason = String.valueOf(cause.getMessage());
            var _ = context.close();
        }
    }
}
