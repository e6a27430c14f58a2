package org.nettlering.consensus.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.consensus.protocol.ProtocolFixture.C;
import static org.nettlering.consensus.protocol.ProtocolFixture.DISK_A;
import static org.nettlering.consensus.protocol.ProtocolFixture.DISK_B;
import static org.nettlering.consensus.protocol.ProtocolFixture.DISK_C;
import static org.nettlering.consensus.protocol.ProtocolFixture.SELF;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.nettlering.consensus.ConsensusMessage.DiscoveryResponse;
import org.nettlering.consensus.LogStorage.StoredState;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;

class BootstrapTest {
    /** Its id is lower than that of the member under test. */
    private static final MemberId LOWER_ID = MemberId.of("0");

    private final ProtocolFixture member = new ProtocolFixture(
            new StoredState(0, Optional.empty(), Optional.empty(), List.of()),
            List.of(
                    Member.learner(LOWER_ID, "0:1", "zero"),
                    Member.learner(SELF, "a:1", "one"),
                    Member.learner(C, "c:1", "three")));

    @Test
    void doesNotBootstrapWhileLowerIdMemberMayBootstrap() {
        member.receive(C, response(DISK_C, false, true));
        member.receive(LOWER_ID, response(DISK_B, false, true));
        assertThat(isBootstrapped()).isFalse();
    }

    /** The lower-id member stopped before it bootstrapped the group and is not configured to do so after its restart. */
    @Test
    void bootstrapsWhenLowerIdMemberMayNotBootstrap() {
        member.receive(C, response(DISK_C, false, true));
        member.receive(LOWER_ID, response(DISK_B, false, false));
        assertThat(isBootstrapped()).isTrue();
    }

    @Test
    void doesNotBootstrapWhenAnyMemberIsInitialised() {
        member.receive(C, response(DISK_C, true, false));
        member.receive(LOWER_ID, response(DISK_B, false, false));
        assertThat(isBootstrapped()).isFalse();
    }

    private boolean isBootstrapped() {
        return member.protocol.status().membership().find(LOWER_ID).isPresent();
    }

    private static DiscoveryResponse response(long disk, boolean initialised, boolean mayBootstrap) {
        return new DiscoveryResponse(0, disk, DISK_A, initialised, mayBootstrap);
    }
}
