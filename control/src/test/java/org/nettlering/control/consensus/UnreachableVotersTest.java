package org.nettlering.control.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.nettlering.consensus.ConsensusStatus;
import org.nettlering.consensus.ConsensusStatus.Progress;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.Membership;

class UnreachableVotersTest {
    private static final MemberId SELF = MemberId.of("self");

    private static final long LONG_MILLIS = 10_000;

    private static final long URGENT_MILLIS = 3_000;

    private static final long ELECTION_TIMEOUT_MILLIS = 1_000;

    private final UnreachableVoters unreachableVoters = UnreachableVoters.bearing(1);

    private final List<Member> members = new ArrayList<>(List.of(voter(SELF)));

    private final List<Progress> progress = new ArrayList<>();

    @Test
    void theVoterThatHasBeenUnreachableForLongestIsRemoved() {
        addVoters(3, 50);
        addVoter("gone", LONG_MILLIS);
        addVoter("gone-longer", LONG_MILLIS + 1);
        assertThat(unreachableVoters.findRemovable(status(SELF, true))).contains(MemberId.of("gone-longer"));
    }

    @Test
    void aVoterThatWasUnreachableOnlyBrieflyStays() {
        addVoters(3, 50);
        addVoter("restarting", LONG_MILLIS - 1);
        assertThat(unreachableVoters.findRemovable(status(SELF, true))).isEmpty();
    }

    @Test
    void aVoterIsRemovedSoonerWhileTheGroupBearsFewerLossesThanItHasTo() {
        addVoters(4, 50);
        addVoter("gone-1", URGENT_MILLIS);
        addVoter("gone-2", URGENT_MILLIS);
        assertThat(status(SELF, true).survivableMembers()).isEqualTo(1);
        assertThat(unreachableVoters.findRemovable(status(SELF, true))).isEmpty();
        addVoter("gone-3", URGENT_MILLIS - 1);
        assertThat(status(SELF, true).survivableMembers()).isZero();
        assertThat(unreachableVoters.findRemovable(status(SELF, true)))
                .hasValueSatisfying(voter -> assertThat(voter.value()).isIn("gone-1", "gone-2"));
    }

    @Test
    void theGroupKeepsAsManyVotersAsTheLossesThatItBearsNeed() {
        addVoters(1, 50);
        addVoter("gone", LONG_MILLIS);
        assertThat(unreachableVoters.findRemovable(status(SELF, true))).isEmpty();
        addVoters(2, 50);
        assertThat(unreachableVoters.findRemovable(status(SELF, true))).contains(MemberId.of("gone"));
        assertThat(UnreachableVoters.bearing(2).findRemovable(status(SELF, true)))
                .isEmpty();
    }

    @Test
    void onlyTheLeaderRemovesAndOnlyOneMemberAtATime() {
        addVoters(4, 50);
        addVoter("gone", LONG_MILLIS);
        assertThat(unreachableVoters.findRemovable(status(MemberId.of("other"), true)))
                .isEmpty();
        assertThat(unreachableVoters.findRemovable(status(SELF, false))).isEmpty();
    }

    @Test
    void aLeaderThatStoodStillItselfRemovesNobody() {
        addVoters(4, LONG_MILLIS);
        assertThat(unreachableVoters.findRemovable(status(SELF, true))).isEmpty();
    }

    @Test
    void aLearnerThatIsUnreachableStays() {
        addVoters(4, 50);
        members.add(Member.learner(MemberId.of("learner"), "10.0.0.9:1", "one"));
        progress.add(new Progress(MemberId.of("learner"), 0, LONG_MILLIS, true, false));
        assertThat(unreachableVoters.findRemovable(status(SELF, true))).isEmpty();
    }

    private void addVoters(int count, long lastHeardMillis) {
        for (int number = 0; number < count; number++) {
            addVoter("voter-" + members.size(), lastHeardMillis);
        }
    }

    private void addVoter(String id, long lastHeardMillis) {
        members.add(voter(MemberId.of(id)));
        progress.add(
                new Progress(MemberId.of(id), 0, lastHeardMillis, true, lastHeardMillis < ELECTION_TIMEOUT_MILLIS));
    }

    private static Member voter(MemberId id) {
        return new Member(id, "10.0.0.1:1", "one", 1, true);
    }

    private ConsensusStatus status(MemberId leader, boolean membershipCommitted) {
        return new ConsensusStatus(
                SELF, 1, 1, Optional.of(leader), Membership.of(members), membershipCommitted, 1, 0, 1, 1, 0, progress);
    }
}
