package org.nettlering.control.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.consensus.ConsensusListener.Event;
import org.nettlering.consensus.ConsensusListener.LeaderChanged;
import org.nettlering.consensus.ConsensusListener.LeadershipLost;
import org.nettlering.consensus.ConsensusListener.SnapshotSaved;
import org.nettlering.consensus.MemberId;
import org.nettlering.domain.time.ManualTime;

class LeadershipHistoryTest {
    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final List<Event> passedOn = new ArrayList<>();
    private final LeadershipHistory history = LeadershipHistory.of(time, passedOn::add);

    @Test
    void aChangeOfLeaderIsKeptWithItsTimeAndReason() {
        time.advance(Duration.ofSeconds(5));

        history.onEvent(new LeadershipLost(3, "no majority answered"));
        history.onEvent(new LeaderChanged(4, MemberId.of("control-2")));

        assertThat(history.changes()).extracting("reason").first().isEqualTo("no majority answered");
        assertThat(history.changes().getLast().getLeaderId()).isEqualTo("control-2");
        assertThat(history.changes().getLast().getTimeUnixMillis()).isEqualTo(5000);
    }

    @Test
    void whatIsNoChangeOfLeaderIsPassedOnButNotKept() {
        history.onEvent(new SnapshotSaved(10, 20));

        assertThat(history.changes()).isEmpty();
        assertThat(passedOn).hasSize(1);
    }

    @Test
    void onlyTheLatestChangesAreKept() {
        for (int term = 1; term <= LeadershipHistory.KEPT_CHANGES + 2; term++) {
            history.onEvent(new LeaderChanged(term, MemberId.of("control-1")));
        }

        assertThat(history.changes()).hasSize(LeadershipHistory.KEPT_CHANGES);
        assertThat(history.changes().getFirst().getTerm()).isEqualTo(3);
    }
}
