package org.nettlering.wire.codec;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.nettlering.consensus.ConsensusMessage;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.Membership;
import org.nettlering.consensus.Payload;
import org.nettlering.consensus.SnapshotHeader;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.wire.proto.ConsensusProto;

class ConsensusMessageCodecTest {
    private static final MemberId FROM = MemberId.of("control-1");
    private static final MemberId TO = MemberId.of("control-2");
    private static final Membership MEMBERSHIP = Membership.of(
            List.of(Member.learner(FROM, "127.0.0.1:1", "one").withVote(-5), Member.learner(TO, "127.0.0.1:2", "two")));

    static Stream<ConsensusMessage> everyKind() {
        Payload payload = Payload.of(new byte[] {1, 2, 3});
        List<LogEntry> entries = List.of(
                new LogEntry(8, 3, LogEntry.Kind.NO_OP, Payload.EMPTY),
                new LogEntry(9, 3, LogEntry.Kind.COMMAND, payload),
                new LogEntry(10, 3, LogEntry.Kind.MEMBERSHIP, payload));
        SnapshotHeader header = new SnapshotHeader(7, 3, MEMBERSHIP, 3, payload.checksum());
        return Stream.of(
                new ConsensusMessage.PreVoteRequest(4, -9, 7, 3),
                new ConsensusMessage.PreVoteResponse(4, 9, 5, true),
                new ConsensusMessage.VoteRequest(4, 9, 7, 3, true),
                new ConsensusMessage.VoteResponse(4, 9, true),
                new ConsensusMessage.AppendRequest(4, 7, 3, entries, 6, 12),
                new ConsensusMessage.AppendRequest(4, 0, 0, List.of(), 0, 0),
                new ConsensusMessage.AppendResponse(4, 9, true, 10, 11, 12),
                new ConsensusMessage.SnapshotPiece(4, header, 0, payload),
                new ConsensusMessage.SnapshotPieceResponse(4, 9, 7, 3, true),
                new ConsensusMessage.TimeoutNow(4),
                new ConsensusMessage.DiscoveryRequest(0, 9),
                new ConsensusMessage.DiscoveryResponse(0, 9, 8, true, true));
    }

    @ParameterizedTest
    @MethodSource("everyKind")
    void aMessageIsTheSameAfterItWasSent(ConsensusMessage message) {
        assertThat(ConsensusMessageCodec.decode(ConsensusMessageCodec.encode(FROM, TO, message)))
                .isEqualTo(message);
    }

    @Test
    void everyKindOfMessageIsAmongThoseTested() {
        assertThat(everyKind().map(Object::getClass).distinct())
                .hasSize(ConsensusMessage.class.getPermittedSubclasses().length);
    }

    @Test
    void aMessageOfAnUnknownKindIsRefused() {
        assertThatThrownBy(() -> ConsensusMessageCodec.decode(ConsensusProto.ConsensusMessage.newBuilder()
                        .setFrom("control-3")
                        .build()))
                .isInstanceOf(NettleringException.class)
                .hasMessageContaining("control-3");
    }
}
