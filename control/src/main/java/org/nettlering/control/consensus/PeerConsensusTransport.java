package org.nettlering.control.consensus;

import java.util.Optional;
import java.util.function.Function;
import org.nettlering.consensus.ConsensusMessage;
import org.nettlering.consensus.ConsensusNode;
import org.nettlering.consensus.ConsensusTransport;
import org.nettlering.consensus.MemberId;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.wire.codec.ConsensusMessageCodec;
import org.nettlering.wire.proto.ConsensusProto;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.transport.Peer;

/**
 * Sends the messages of the replicated log as frames, one peer a member.
 *
 * <p>A message to a member without a known peer is dropped. Thread-safe.
 */
public final class PeerConsensusTransport implements ConsensusTransport {
    /** This member. */
    private final MemberId self;

    /** Finds the connection to a member. */
    private final Function<MemberId, Optional<Peer>> peers;

    /**
     * Creates a transport.
     *
     * @param self this member, not null
     * @param peers finds the connection to a member, empty for an unknown one; called for each message, not null
     * @return the transport, never null
     */
    public static PeerConsensusTransport of(MemberId self, Function<MemberId, Optional<Peer>> peers) {
        return new PeerConsensusTransport(self, peers);
    }

    private PeerConsensusTransport(MemberId self, Function<MemberId, Optional<Peer>> peers) {
        this.self = self;
        this.peers = peers;
    }

    @Override
    public void send(MemberId to, ConsensusMessage message) {
        Optional<Peer> peer = peers.apply(to);
        if (peer.isEmpty()) {
            return;
        }
        Frame frame = Frame.newBuilder()
                .setConsensus(ConsensusMessageCodec.encode(self, to, message))
                .build();
        peer.get().send(frame);
    }

    /**
     * Hands a frame from another member to the replicated log.
     *
     * @param frame a frame with the body {@code consensus}, not null
     * @param node the member of this process, not null
     * @throws NettleringException with {@code INVALID_ARGUMENT} if the frame is meant for another member or holds no known
     *     message
     */
    public void deliver(Frame frame, ConsensusNode node) {
        ConsensusProto.ConsensusMessage message = frame.getConsensus();
        if (!message.getTo().equals(self.value())) {
            throw new NettleringException(
                    ErrorCode.INVALID_ARGUMENT, "a message for member " + message.getTo() + " reached member " + self);
        }
        node.receive(MemberId.of(message.getFrom()), ConsensusMessageCodec.decode(message));
    }
}
