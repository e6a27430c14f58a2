package org.nettlering.control.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnknownFieldSet;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.nettlering.consensus.ConsensusMessage;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.Payload;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.wire.codec.ConsensusMessageCodec;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.CommandProto.SiteResult;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.transport.TransportLimits;

class ReplicatedCommandLogTest {
    private final SingleMember member = new SingleMember(happening -> {});
    private final ReplicatedCommandLog log = ReplicatedCommandLog.of(member.node);

    @Test
    void aCommandIsRefusedBeforeTheMemberLeads() {
        assertThat(log.propose(SiteCommand.getDefaultInstance()).toCompletableFuture())
                .isCompletedExceptionally();
        assertThat(log.confirmLeadership().toCompletableFuture()).isCompletedExceptionally();
        assertThat(log.isReadyLeader()).isFalse();
        assertThat(log.leaderId()).isEmpty();
    }

    @Test
    void aLeaderAnswersWithTheResultOfTheStateMachine() {
        member.lead();

        CompletableFuture<SiteResult> result =
                log.propose(SiteCommand.getDefaultInstance()).toCompletableFuture();

        assertThat(result).isCompletedWithValue(SiteResult.getDefaultInstance());
        assertThat(log.confirmLeadership().toCompletableFuture()).isCompleted();
        assertThat(log.isReadyLeader()).isTrue();
        assertThat(log.term()).isPositive();
        assertThat(log.leaderId()).contains(SingleMember.SELF.value());
    }

    @Test
    void aCommandThatNoFrameBetweenTheMembersHoldsIsRefusedBeforeTheLog() {
        member.lead();
        long indexBefore = member.node.status().orElseThrow().lastIndex();
        SiteCommand command = commandOfSize(TransportLimits.defaults().maxFrameBytes() - 50);

        CompletableFuture<SiteResult> result = log.propose(command).toCompletableFuture();

        assertThat(result)
                .isCompletedExceptionally()
                .failsWithin(Duration.ZERO)
                .withThrowableThat()
                .havingCause()
                .isInstanceOfSatisfying(
                        NettleringException.class,
                        refusal -> assertThat(refusal.code()).isEqualTo(ErrorCode.TOO_LARGE));
        assertThat(member.node.status().orElseThrow().lastIndex()).isEqualTo(indexBefore);
    }

    @Test
    void theLargestCommandFitsIntoAFrameBetweenTheMembers() {
        member.lead();
        SiteCommand command = commandOfSize(ReplicatedCommandLog.MAX_COMMAND_BYTES);

        assertThat(log.propose(command).toCompletableFuture()).isCompleted();
        MemberId longId = MemberId.of("m".repeat(1_000));
        LogEntry entry = new LogEntry(
                Long.MAX_VALUE - 1, Long.MAX_VALUE, LogEntry.Kind.COMMAND, Payload.of(command.toByteArray()));
        ConsensusMessage append = new ConsensusMessage.AppendRequest(
                Long.MAX_VALUE, Long.MAX_VALUE - 2, Long.MAX_VALUE, List.of(entry), Long.MAX_VALUE, Long.MAX_VALUE);
        Frame frame = Frame.newBuilder()
                .setConsensus(ConsensusMessageCodec.encode(longId, longId, append))
                .build();
        assertThat(frame.getSerializedSize())
                .isLessThanOrEqualTo(TransportLimits.defaults().maxFrameBytes());
    }

    /** Returns a command of exactly the given size; it holds a field that the program does not know. */
    private static SiteCommand commandOfSize(int bytes) {
        int tagAndLengthBytes = 2 + 4;
        UnknownFieldSet.Field field = UnknownFieldSet.Field.newBuilder()
                .addLengthDelimited(ByteString.copyFrom(new byte[bytes - tagAndLengthBytes]))
                .build();
        SiteCommand command = SiteCommand.newBuilder()
                .setUnknownFields(
                        UnknownFieldSet.newBuilder().addField(1_000, field).build())
                .build();
        assertThat(command.getSerializedSize()).isEqualTo(bytes);
        return command;
    }
}
