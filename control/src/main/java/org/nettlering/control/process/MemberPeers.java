package org.nettlering.control.process;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.runtime.settings.Addresses;
import org.nettlering.wire.transport.NettyPeer;
import org.nettlering.wire.transport.Peer;

/**
 * The connections to the other control members, made when the membership first names them.
 *
 * <p>A member that changed its address gets a new connection; one whose address cannot be read has none, as an exception
 * would end the replicated log of this process. Thread-safe.
 */
final class MemberPeers implements Function<MemberId, Optional<Peer>> {
    /** Looks up a member in the current membership. */
    private final Function<MemberId, Optional<Member>> membership;

    /** Opens a connection to an id and an address. */
    private final BiFunction<String, InetSocketAddress, NettyPeer> opener;

    /** The connections by member. */
    private final Map<MemberId, Connection> connections = new ConcurrentHashMap<>();

    /**
     * Creates a set without connections.
     *
     * @param membership looks up a member in the current membership, not null
     * @param opener opens a connection to an id and an address, not null
     * @return a new instance, never null
     */
    static MemberPeers of(
            Function<MemberId, Optional<Member>> membership, BiFunction<String, InetSocketAddress, NettyPeer> opener) {
        return new MemberPeers(membership, opener);
    }

    private MemberPeers(
            Function<MemberId, Optional<Member>> membership, BiFunction<String, InetSocketAddress, NettyPeer> opener) {
        this.membership = membership;
        this.opener = opener;
    }

    @Override
    public Optional<Peer> apply(MemberId id) {
        return membership
                .apply(id)
                .flatMap(member ->
                        Optional.ofNullable(connections.compute(id, (ignored, present) -> connect(member, present))))
                .map(Connection::peer);
    }

    /** Returns the connection to a member, or null if its address cannot be read. */
    private @Nullable Connection connect(Member member, @Nullable Connection present) {
        if (present != null && present.address().equals(member.address())) {
            return present;
        }
        if (present != null) {
            present.peer().close();
        }
        try {
            InetSocketAddress address = Addresses.parse(member.address());
            return new Connection(member.address(), opener.apply(member.id().value(), address));
        } catch (NettleringException exception) {
            return null;
        }
    }

    private record Connection(String address, NettyPeer peer) {}
}
