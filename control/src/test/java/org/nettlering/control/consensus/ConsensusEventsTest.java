package org.nettlering.control.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.wire.proto.CommandProto.SiteCommand;

class ConsensusEventsTest {
    @Test
    void aFailedDiskTellsTheProcessOnce() {
        List<String> told = new ArrayList<>();
        SingleMember member = new SingleMember(ConsensusEvents.logging(() -> told.add("failed")));
        member.lead();
        ReplicatedCommandLog log = ReplicatedCommandLog.of(member.node);
        assertThat(told).isEmpty();

        member.folder.failAfter(0);

        assertThat(log.propose(SiteCommand.getDefaultInstance()).toCompletableFuture())
                .isCompletedExceptionally();
        assertThat(log.propose(SiteCommand.getDefaultInstance()).toCompletableFuture())
                .isCompletedExceptionally();
        assertThat(told).containsExactly("failed");
    }
}
