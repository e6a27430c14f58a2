package org.nettlering.control.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.CommandProto.SiteResult;

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
}
