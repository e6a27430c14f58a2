package org.nettlering.wire.transport;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BiFunction;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.runtime.settings.Addresses;

/**
 * The control members that a gateway knows: those of the settings, those of the group, and leaders that it was
 * redirected to.
 *
 * <p>A member that was redirected to under another address than before gets a new peer. Thread-safe; peers are opened
 * without the lock.
 */
final class ControlMembers {
    private static final int MAX_MEMBERS = 32;

    /** Opens peers, or null when the members are fixed. */
    private final @Nullable BiFunction<String, InetSocketAddress, ? extends Peer> opener;

    /** Guards the fields below. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The peers by id, in the order in which they are asked. */
    private final Map<String, Peer> peers;

    /** The addresses by id. */
    private final Map<String, InetSocketAddress> addresses;

    /** The members that settings name, which are never forgotten. */
    private final Set<String> settingsIds;

    static ControlMembers fixed(Map<String, ? extends Peer> peers) {
        return new ControlMembers(null, peers, Map.of());
    }

    static ControlMembers learning(
            Map<String, InetSocketAddress> addresses, BiFunction<String, InetSocketAddress, ? extends Peer> opener) {
        Map<String, Peer> peers = new LinkedHashMap<>();
        addresses.forEach((id, address) -> peers.put(id, opener.apply(id, address)));
        return new ControlMembers(opener, peers, addresses);
    }

    private ControlMembers(
            @Nullable BiFunction<String, InetSocketAddress, ? extends Peer> opener,
            Map<String, ? extends Peer> peers,
            Map<String, InetSocketAddress> addresses) {
        if (peers.isEmpty()) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "there are no control members");
        }
        this.opener = opener;
        this.peers = new LinkedHashMap<>(peers);
        this.addresses = new LinkedHashMap<>(addresses);
        settingsIds = new HashSet<>(peers.keySet());
    }

    /** Returns the first member. */
    String first() {
        return ids().getFirst();
    }

    /** Returns the member that is asked after the given one. */
    String after(String id) {
        List<String> ids = ids();
        return ids.get((ids.indexOf(id) + 1) % ids.size());
    }

    /** Tells whether there is a peer with the id. */
    boolean isKnown(String id) {
        return ids().contains(id);
    }

    /** Returns the peer with the id, or the first one if there is none. */
    Peer peer(String id) {
        lock.lock();
        try {
            Peer peer = peers.get(id);
            return peer == null ? peers.values().iterator().next() : peer;
        } finally {
            lock.unlock();
        }
    }

    /** Returns every peer. */
    List<Peer> peers() {
        lock.lock();
        try {
            return List.copyOf(peers.values());
        } finally {
            lock.unlock();
        }
    }

    /** Returns the number of members. */
    int size() {
        return ids().size();
    }

    /** Takes note of a leader; an address that is empty or malformed is ignored. */
    void learn(String id, String text) {
        if (opener == null || id.isEmpty() || text.isEmpty()) {
            return;
        }
        InetSocketAddress address = parse(text);
        if (address == null || isCurrent(id, address)) {
            return;
        }
        Peer opened = opener.apply(id, address);
        Peer previous;
        lock.lock();
        try {
            previous = peers.put(id, opened);
            addresses.put(id, address);
        } finally {
            lock.unlock();
        }
        if (previous != null) {
            close(previous);
        }
    }

    /** Notes that settings name a member. */
    void keep(String id) {
        lock.lock();
        try {
            settingsIds.add(id);
        } finally {
            lock.unlock();
        }
    }

    /** Forgets the members that are not among the given ones, unless settings name them. */
    void forgetAllBut(Set<String> ids) {
        List<Peer> forgotten = new ArrayList<>();
        lock.lock();
        try {
            for (String id : List.copyOf(peers.keySet())) {
                if (!ids.contains(id) && !settingsIds.contains(id)) {
                    forgotten.add(peers.remove(id));
                    addresses.remove(id);
                }
            }
        } finally {
            lock.unlock();
        }
        forgotten.forEach(ControlMembers::close);
    }

    private static void close(Peer peer) {
        if (peer instanceof NettyPeer connected) {
            connected.close();
        }
    }

    private boolean isCurrent(String id, InetSocketAddress address) {
        lock.lock();
        try {
            return address.equals(addresses.get(id)) || (!peers.containsKey(id) && peers.size() >= MAX_MEMBERS);
        } finally {
            lock.unlock();
        }
    }

    private List<String> ids() {
        lock.lock();
        try {
            return new ArrayList<>(peers.keySet());
        } finally {
            lock.unlock();
        }
    }

    private static @Nullable InetSocketAddress parse(String text) {
        try {
            return Addresses.parse(text);
        } catch (NettleringException exception) {
            return null;
        }
    }
}
