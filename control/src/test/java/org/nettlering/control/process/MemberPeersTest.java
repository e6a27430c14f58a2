package org.nettlering.control.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.domain.time.SystemTime;
import org.nettlering.wire.transport.ClusterIdentity;
import org.nettlering.wire.transport.Peer;
import org.nettlering.wire.transport.PeerNetwork;
import org.nettlering.wire.transport.TransportLimits;

class MemberPeersTest {
    private static final MemberId ID = MemberId.of("control-2");

    private final SystemTime time = SystemTime.create("test-timers");
    private final PeerNetwork network =
            PeerNetwork.create(new ClusterIdentity("site", "control-1", "one"), TransportLimits.defaults(), time);

    private String address = "127.0.0.1:7000";

    private final MemberPeers peers =
            MemberPeers.of(id -> Optional.of(Member.learner(id, address, "two")), network::peer);

    @AfterEach
    void close() {
        network.close();
        time.close();
    }

    @Test
    void aMemberKeepsItsConnectionUntilItsAddressChanges() {
        Peer first = peers.apply(ID).orElseThrow();
        assertThat(peers.apply(ID)).contains(first);

        address = "127.0.0.1:7001";
        assertThat(peers.apply(ID)).isPresent().get().isNotSameAs(first);
    }

    @Test
    void aMemberWhoseAddressInTheLogCannotBeReadHasNoConnection() {
        address = "control-2";
        assertThat(peers.apply(ID)).isEmpty();

        address = "127.0.0.1:port";
        assertThat(peers.apply(ID)).isEmpty();
    }
}
