package org.nettlering.control.service;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.nettlering.consensus.Member;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.transport.FrameFailureException;
import org.nettlering.wire.transport.FrameHandler;

/**
 * Adds who leads, and where, to every refusal for want of leadership.
 *
 * <p>With the address a caller also reaches a leader that was added after its settings were written. Immutable and
 * thread-safe.
 */
public final class LeaderHintHandler implements FrameHandler {
    /** Handles the frames. */
    private final FrameHandler inner;

    /** Returns the member that is believed to lead. */
    private final Supplier<Optional<Member>> leader;

    /** Where callers reach members that they don't reach at their own addresses, by id. */
    private final Map<String, InetSocketAddress> advertised;

    /**
     * Wraps a handler.
     *
     * @param inner handles the frames, not null
     * @param leader returns the member that is believed to lead, not null
     * @param advertised where callers reach members that they don't reach at their own addresses, by id, not null
     * @return a new handler, never null
     */
    public static LeaderHintHandler of(
            FrameHandler inner, Supplier<Optional<Member>> leader, Map<String, InetSocketAddress> advertised) {
        return new LeaderHintHandler(inner, leader, advertised);
    }

    private LeaderHintHandler(
            FrameHandler inner, Supplier<Optional<Member>> leader, Map<String, InetSocketAddress> advertised) {
        this.inner = inner;
        this.leader = leader;
        this.advertised = Map.copyOf(advertised);
    }

    @Override
    public CompletionStage<Frame> handleRequest(Frame request) {
        return inner.handleRequest(request).exceptionallyCompose(error -> {
            Throwable cause =
                    error instanceof CompletionException && error.getCause() != null ? error.getCause() : error;
            return java.util.concurrent.CompletableFuture.failedStage(withHint(cause));
        });
    }

    @Override
    public void handleMessage(Frame message) {
        inner.handleMessage(message);
    }

    private Throwable withHint(Throwable cause) {
        if (!(cause instanceof NettleringException exception) || exception.code() != ErrorCode.NOT_LEADER) {
            return cause;
        }
        return leader.get()
                .map(member -> FrameFailureException.notLeader(member.id().value(), addressOf(member)))
                .orElseGet(() -> FrameFailureException.notLeader(null));
    }

    private String addressOf(Member member) {
        InetSocketAddress address = advertised.get(member.id().value());
        return address == null ? member.address() : address.getHostString() + ":" + address.getPort();
    }
}
