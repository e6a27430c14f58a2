package org.nettlering.control.consensus;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.nettlering.consensus.ConsensusNode;
import org.nettlering.consensus.MemberId;
import org.nettlering.control.log.CommandLog;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.CommandProto.SiteResult;
import org.nettlering.wire.transport.TransportLimits;

/**
 * The command log over the replicated log.
 *
 * <p>The state machine that the node drives must parse a {@code SiteCommand} and answer with a {@code SiteResult}.
 * Thread-safe. To put a control process together:
 *
 * <pre>{@code
 * PeerConsensusTransport transport = PeerConsensusTransport.of(self, peers::find);
 * ConsensusPorts ports = new ConsensusPorts(time, FileLogStorage.open(DiskFolder.open(folder), self), transport,
 *         stateMachine, history, ConsensusExecutors.create(self), new SecureRandom());
 * ConsensusNode node = ConsensusNode.create(self, members, ConsensusSettings.DEFAULT, ports);
 * CommandLog log = ReplicatedCommandLog.of(node);
 * FrameService membership = MembershipService.of(node, history);
 * node.start();
 * // FrameHandler.handleMessage, for a frame with the body consensus:
 * transport.deliver(frame, node);
 * }</pre>
 */
public final class ReplicatedCommandLog implements CommandLog {
    /** The largest command: with the rest of its message it must fit into one frame between two members. */
    static final int MAX_COMMAND_BYTES = TransportLimits.defaults().maxFrameBytes() - 64 * 1024;

    /** The member of this process. */
    private final ConsensusNode node;

    /**
     * Creates a command log.
     *
     * @param node the member of this process, not null
     * @return the command log, never null
     */
    public static ReplicatedCommandLog of(ConsensusNode node) {
        return new ReplicatedCommandLog(node);
    }

    private ReplicatedCommandLog(ConsensusNode node) {
        this.node = node;
    }

    @Override
    public CompletionStage<SiteResult> propose(SiteCommand command) {
        byte[] encoded = command.toByteArray();
        if (encoded.length > MAX_COMMAND_BYTES) {
            return CompletableFuture.failedFuture(new NettleringException(
                    ErrorCode.TOO_LARGE,
                    "a command of " + encoded.length + " bytes is larger than the maximum of " + MAX_COMMAND_BYTES));
        }
        return node.propose(encoded).thenApply(ReplicatedCommandLog::decode);
    }

    private static SiteResult decode(byte[] result) {
        try {
            return SiteResult.parseFrom(result);
        } catch (InvalidProtocolBufferException e) {
            throw new NettleringException(ErrorCode.INTERNAL, "the state machine answered no result of the site", e);
        }
    }

    @Override
    public CompletionStage<Void> confirmLeadership() {
        return node.readIndex();
    }

    @Override
    public boolean isReadyLeader() {
        return node.isReadyLeader();
    }

    @Override
    public boolean hasAppliedWholeLog() {
        return node.status()
                .filter(status -> status.appliedIndex() == status.lastIndex())
                .isPresent();
    }

    @Override
    public long term() {
        return node.term();
    }

    @Override
    public Optional<String> leaderId() {
        return node.leader().map(MemberId::value);
    }
}
