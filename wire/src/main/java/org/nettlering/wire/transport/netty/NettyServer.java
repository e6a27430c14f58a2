package org.nettlering.wire.transport.netty;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.flow.FlowControlHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.wire.transport.ClusterIdentity;
import org.nettlering.wire.transport.FrameHandler;
import org.nettlering.wire.transport.TransportLimits;
import org.nettlering.wire.transport.WireEvent;

/** A listening socket and the connections that it accepted. Thread-safe. */
public final class NettyServer implements AutoCloseable {
    private static final EventLogger LOG = EventLogger.of(NettyServer.class);

    /** The bounds. */
    private final TransportLimits limits;

    /** The accepted connections. */
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

    /** The listening socket. */
    private final Channel listener;

    /**
     * Binds a socket and starts to accept.
     *
     * @param group runs the connections, not null
     * @param address where to listen; port 0 takes any free one, not null
     * @param identity who this process is, not null
     * @param limits the bounds and periods, not null
     * @param handler answers the requests, not null
     * @param time sets the timers, not null
     * @throws NettleringException with {@code INVALID_SETTINGS} if the address cannot be bound
     */
    public NettyServer(
            EventLoopGroup group,
            InetSocketAddress address,
            ClusterIdentity identity,
            TransportLimits limits,
            FrameHandler handler,
            TimeSource time) {
        this.limits = limits;
        ChannelFuture binding = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accept(channel, new ServerConnection(identity, limits, handler, time));
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!binding.isSuccess()) {
            throw new NettleringException(ErrorCode.INVALID_SETTINGS, "cannot listen on " + address, binding.cause());
        }
        listener = binding.channel();
        LOG.log(WireEvent.LISTENING, address());
    }

    /**
     * Returns the address on which the server listens.
     *
     * @return the address with the port that was bound, never null
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /**
     * Returns how many accepted connections are open.
     *
     * @return at least zero
     */
    public int openConnections() {
        return connections.size();
    }

    @Override
    public void close() {
        listener.close().awaitUninterruptibly();
        connections.close().awaitUninterruptibly();
    }

    private void accept(Channel channel, ServerConnection handler) {
        if (connections.size() >= limits.maxConnections()) {
            LOG.log(WireEvent.TOO_MANY_CONNECTIONS, channel.remoteAddress(), connections.size());
            var _ = channel.close();
            return;
        }
        connections.add(channel);
        FramePipeline.addTo(channel.pipeline(), limits.maxFrameBytes());
        channel.pipeline().addLast(new FlowControlHandler(), handler);
    }
}
