package org.nettlering.wire.transport.netty;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.FrameProto.Hello;
import org.nettlering.wire.proto.FrameProto.HelloReply;
import org.nettlering.wire.proto.FrameProto.Pong;
import org.nettlering.wire.transport.ClusterIdentity;
import org.nettlering.wire.transport.FrameFailureException;
import org.nettlering.wire.transport.FrameHandler;
import org.nettlering.wire.transport.TransportLimits;
import org.nettlering.wire.transport.WireEvent;
import org.nettlering.wire.transport.link.PeerLink;

/**
 * The server's side of one connection: checks the handshake, answers pings, passes requests on and writes responses.
 *
 * <p>Reads no more while its caller does not read what was answered. Its state belongs to the event loop of the channel.
 */
final class ServerConnection extends SimpleChannelInboundHandler<Frame> {
    private static final EventLogger LOG = EventLogger.of(ServerConnection.class);

    private static final int SILENCE_FACTOR = 2;

    private static final int HARD_QUEUE_FACTOR = 2;

    /** Who this process is. */
    private final ClusterIdentity identity;

    /** The bounds and periods. */
    private final TransportLimits limits;

    /** Answers the requests. */
    private final FrameHandler handler;

    /** Sets the timers. */
    private final TimeSource time;

    /** Who calls; the address until the handshake is done. */
    private String caller = "";

    /** True once the handshake is done. */
    private boolean trusted;

    /** Requests without a response. */
    private int pending;

    /** Ping intervals since the last frame arrived. */
    private int quietIntervals;

    /** Writes the frames; set when the channel is active. */
    private @Nullable NettyConnection connection;

    ServerConnection(ClusterIdentity identity, TransportLimits limits, FrameHandler handler, TimeSource time) {
        super(Frame.class);
        this.identity = identity;
        this.limits = limits;
        this.handler = handler;
        this.time = time;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        connection = new NettyConnection(
                context.channel(),
                limits.maxQueuedBytes(),
                () -> context.channel().config().setAutoRead(true));
        caller = String.valueOf(context.channel().remoteAddress());
        scheduleTick(context);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        quietIntervals = 0;
        if (frame.hasHello()) {
            greet(context, frame.getHello());
            return;
        }
        if (!trusted) {
            LOG.log(WireEvent.MALFORMED_FRAME, caller, "the first frame is no hello");
            var _ = context.close();
            return;
        }
        if (frame.hasPing()) {
            write(Frame.newBuilder()
                    .setCorrelationId(frame.getCorrelationId())
                    .setPong(Pong.getDefaultInstance())
                    .build());
            return;
        }
        if (frame.getCorrelationId() == 0) {
            pass(frame);
            return;
        }
        request(context, frame);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOG.log(WireEvent.MALFORMED_FRAME, caller, String.valueOf(cause.getMessage()));
        var _ = context.close();
    }

    private void greet(ChannelHandlerContext context, Hello hello) {
        String refusal = refusal(hello);
        if (refusal == null) {
            trusted = true;
            caller = hello.getProcessId() + "@" + context.channel().remoteAddress();
            HelloReply reply = HelloReply.newBuilder()
                    .setProcessId(identity.processId())
                    .setFailureDomain(identity.failureDomain())
                    .build();
            write(Frame.newBuilder().setHelloReply(reply).build());
            return;
        }
        LOG.log(WireEvent.WRONG_CLUSTER, caller, refusal);
        FrameFailureException failure = FrameFailureException.of(ErrorCode.WRONG_CLUSTER, refusal, true, 0);
        context.writeAndFlush(Frame.newBuilder().setFailure(failure.toFailure()).build())
                .addListener(ChannelFutureListener.CLOSE);
    }

    private @Nullable String refusal(Hello hello) {
        if (!hello.getClusterId().equals(identity.clusterId())) {
            return "process \"" + hello.getProcessId() + "\" belongs to cluster \"" + hello.getClusterId()
                    + "\", this is cluster \"" + identity.clusterId() + "\"";
        }
        if (hello.getProtocolVersion() != PeerLink.PROTOCOL_VERSION) {
            return "process \"" + hello.getProcessId() + "\" speaks protocol version " + hello.getProtocolVersion()
                    + ", this process speaks " + PeerLink.PROTOCOL_VERSION;
        }
        return null;
    }

    private void request(ChannelHandlerContext context, Frame frame) {
        if (pending >= limits.maxPendingCalls()) {
            String text = pending + " requests of this connection are pending";
            respond(frame.getCorrelationId(), FrameFailureException.of(ErrorCode.OVERLOADED, text, true, 0));
            return;
        }
        pending++;
        // Not the frame, which may be large and is not needed any more while the response is awaited.
        long correlationId = frame.getCorrelationId();
        ask(frame)
                .whenComplete((response, error) -> context.executor().execute(() -> {
                    pending--;
                    if (error != null) {
                        respond(correlationId, error);
                    } else {
                        respond(context, correlationId, response);
                    }
                }));
    }

    /** Passes a message on; one that the handler refuses is dropped, as other frames need the connection. */
    private void pass(Frame message) {
        try {
            handler.handleMessage(message);
        } catch (RuntimeException exception) {
            LOG.log(WireEvent.MESSAGE_DROPPED, caller, String.valueOf(exception.getMessage()));
        }
    }

    private CompletionStage<Frame> ask(Frame frame) {
        try {
            return handler.handleRequest(frame);
        } catch (RuntimeException exception) {
            return java.util.concurrent.CompletableFuture.failedFuture(exception);
        }
    }

    private void respond(ChannelHandlerContext context, long correlationId, Frame response) {
        Frame numbered = response.toBuilder().setCorrelationId(correlationId).build();
        if (numbered.getSerializedSize() > limits.maxFrameBytes()) {
            String text = "a response of " + numbered.getSerializedSize() + " bytes is too large";
            respond(correlationId, FrameFailureException.of(ErrorCode.TOO_LARGE, text, false, 0));
            return;
        }
        write(numbered);
        applyBackPressure(context);
    }

    private void respond(long correlationId, Throwable error) {
        write(Frame.newBuilder()
                .setCorrelationId(correlationId)
                .setFailure(failureOf(error).toFailure())
                .build());
    }

    private FrameFailureException failureOf(Throwable error) {
        Throwable cause = error instanceof CompletionException && error.getCause() != null ? error.getCause() : error;
        if (cause instanceof FrameFailureException failure) {
            return failure;
        }
        if (cause instanceof NettleringException exception) {
            return FrameFailureException.of(
                    exception.code(),
                    String.valueOf(exception.getMessage()),
                    FrameFailureException.isNotRun(exception),
                    0);
        }
        LOG.log(WireEvent.HANDLER_FAILED, caller, cause);
        return FrameFailureException.of(ErrorCode.INTERNAL, "the request failed unexpectedly", false, 0);
    }

    private void write(Frame frame) {
        NettyConnection target = connection;
        if (target != null) {
            target.write(frame, () -> true);
        }
    }

    private void applyBackPressure(ChannelHandlerContext context) {
        NettyConnection target = connection;
        if (target == null || target.isWritable()) {
            return;
        }
        if (target.queuedBytes() > (long) HARD_QUEUE_FACTOR * limits.maxQueuedBytes()) {
            giveUp(context, target);
            return;
        }
        context.channel().config().setAutoRead(false);
    }

    private void scheduleTick(ChannelHandlerContext context) {
        time.schedule(limits.pingInterval(), () -> {
            if (!context.channel().isActive() || context.executor().isShuttingDown()) {
                return;
            }
            context.executor().execute(() -> tick(context));
            scheduleTick(context);
        });
    }

    private void tick(ChannelHandlerContext context) {
        quietIntervals++;
        if (context.channel().isActive() && quietIntervals >= SILENCE_FACTOR * limits.silentIntervals()) {
            giveUp(context, connection);
        }
    }

    private void giveUp(ChannelHandlerContext context, @Nullable NettyConnection target) {
        if (target != null && !target.isWritable()) {
            LOG.log(WireEvent.SLOW_PEER, caller, target.queuedBytes());
        } else {
            long quietMillis =
                    limits.pingInterval().multipliedBy(quietIntervals).toMillis();
            LOG.log(WireEvent.SILENT_CALLER, caller, quietMillis);
        }
        var _ = context.close();
    }
}
