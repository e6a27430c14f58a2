package org.nettlering.domain.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.upstream.UpstreamAddress;

/**
 * The slots of all upstreams as one entry holds, lends and borrows them.
 *
 * <p>A lender gives slots of its own share and counts them as lent until the borrower reports that it holds fewer; the
 * reports carry the whole count, so that a lost message mends itself with the next one. Mutable and not thread-safe: its
 * owner guards it by a lock.
 */
public final class SlotTable {
    /** The id of this entry. */
    private final String entryId;

    /** The ids of the entries that share the slots, this one included. */
    private Collection<String> entries;

    /** The instances, by address. */
    private final Map<UpstreamAddress, InstanceSlots> instances = new HashMap<>();

    /** What each peer holds from this entry. */
    private final Map<String, PeerLoan> lent = new HashMap<>();

    /** What this entry holds from each peer. */
    private final Map<String, Map<UpstreamAddress, Integer>> borrowed = new TreeMap<>();

    /** The peers that have requests waiting, and want their slots back. */
    private final Set<String> shortPeers = new HashSet<>();

    /** What each peer has in flight, as it reported last. */
    private final Map<String, Map<UpstreamAddress, Integer>> peerLoads = new HashMap<>();

    /**
     * Creates a table without instances.
     *
     * @param entryId the id of this entry, not null
     * @return a new table, never null
     */
    public static SlotTable of(String entryId) {
        return new SlotTable(entryId);
    }

    private SlotTable(String entryId) {
        this.entryId = entryId;
        this.entries = List.of(entryId);
    }

    /**
     * Returns the slots of an instance.
     *
     * @param address the instance, not null
     * @return its slots, or null when it is not known
     */
    public @Nullable InstanceSlots find(UpstreamAddress address) {
        return instances.get(address);
    }

    /**
     * Returns the requests of this entry in flight.
     *
     * @return the count of each instance that has any, never null
     */
    public Map<UpstreamAddress, Integer> loads() {
        Map<UpstreamAddress, Integer> loads = new HashMap<>();
        instances.forEach((address, slots) -> {
            if (slots.inFlight() > 0) {
                loads.put(address, slots.inFlight());
            }
        });
        return loads;
    }

    /**
     * Returns what this entry holds from a peer.
     *
     * @param peer the id of the peer, not null
     * @return the borrowed slots of each instance, never null
     */
    public Map<UpstreamAddress, Integer> heldFrom(String peer) {
        return Map.copyOf(borrowed.getOrDefault(peer, Map.of()));
    }

    /**
     * Sets which entries share the slots; loans to and from the ones that are gone end.
     *
     * @param alive the ids of the entries, not null
     */
    public void setEntries(Collection<String> alive) {
        TreeSet<String> now = new TreeSet<>(alive);
        now.add(entryId);
        if (List.copyOf(now).equals(List.copyOf(entries))) {
            return;
        }
        entries = List.copyOf(now);
        lent.keySet().retainAll(now);
        borrowed.keySet().retainAll(now);
        peerLoads.keySet().retainAll(now);
        shortPeers.retainAll(now);
        instances.values().forEach(slots -> resize(slots, slots.slots(), slots.connections()));
        recount();
    }

    /**
     * Takes in what an instance announced.
     *
     * @param address the instance, not null
     * @param slots how many requests it runs at a time
     * @param connections how many connections it accepts
     * @return its slots, never null
     */
    public InstanceSlots put(UpstreamAddress address, int slots, int connections) {
        InstanceSlots present = instances.get(address);
        if (present == null) {
            present = InstanceSlots.of(address);
            instances.put(address, present);
        }
        if (present.slots() != slots || present.connections() != connections) {
            resize(present, slots, connections);
        }
        return present;
    }

    /**
     * Drops the instances that are not used any more and have nothing in flight.
     *
     * @param used the instances that some service uses, not null
     * @return the dropped ones, never null
     */
    public List<UpstreamAddress> retain(Collection<UpstreamAddress> used) {
        List<UpstreamAddress> dropped = instances.values().stream()
                .filter(slots -> slots.inFlight() == 0 && !used.contains(slots.address()))
                .map(InstanceSlots::address)
                .toList();
        dropped.forEach(instances::remove);
        return dropped;
    }

    /**
     * Takes what a peer has in flight.
     *
     * @param peer the id of the peer, not null
     * @param loads the requests in flight at each instance, not null
     */
    public void setPeerLoads(String peer, Map<UpstreamAddress, Integer> loads) {
        Map<UpstreamAddress, Integer> before = peerLoads.getOrDefault(peer, Map.of());
        before.forEach((address, count) -> addPeerLoad(address, -count));
        peerLoads.put(peer, Map.copyOf(loads));
        loads.forEach(this::addPeerLoad);
    }

    /**
     * Lends free slots of this entry's share to a peer.
     *
     * @param peer the id of the peer, not null
     * @param candidates the instances that serve what the peer needs, not null
     * @param wanted how many slots it asks for
     * @return the number of the grant and the slots of each instance, at most half of what is free here, never null
     */
    public SlotGrant lend(String peer, List<InstanceSlots> candidates, int wanted) {
        List<InstanceSlots> byFree = new ArrayList<>(candidates);
        byFree.sort(Comparator.comparingInt(InstanceSlots::lendable).reversed());
        int free = byFree.stream().mapToInt(InstanceSlots::lendable).sum();
        int left = Math.min(wanted, (free + 1) / 2);
        Map<UpstreamAddress, Integer> granted = new HashMap<>();
        PeerLoan loan = lent.computeIfAbsent(peer, name -> new PeerLoan());
        for (InstanceSlots slots : byFree) {
            if (left == 0 || slots.lendable() == 0) {
                break;
            }
            slots.setLent(slots.lent() + 1);
            loan.slots.merge(slots.address(), 1, Integer::sum);
            granted.put(slots.address(), 1);
            left--;
        }
        if (!granted.isEmpty()) {
            loan.lastGrant++;
        }
        return new SlotGrant(loan.lastGrant, granted);
    }

    /**
     * Takes a peer's report of what it holds from this entry.
     *
     * @param peer the id of the peer, not null
     * @param lastGrant the number of the last grant that the peer has seen
     * @param held the slots of each instance, not null
     */
    public void settleLoan(String peer, long lastGrant, Map<UpstreamAddress, Integer> held) {
        PeerLoan loan = lent.computeIfAbsent(peer, name -> new PeerLoan());
        if (lastGrant < loan.lastGrant && lastGrant > 0) {
            return;
        }
        loan.lastGrant = Math.max(loan.lastGrant, lastGrant);
        loan.slots.clear();
        loan.slots.putAll(held);
        recount();
    }

    /**
     * Takes slots that a peer lent.
     *
     * @param peer the id of the peer, not null
     * @param granted the slots of each instance, not null
     */
    public void addBorrowed(String peer, Map<UpstreamAddress, Integer> granted) {
        Map<UpstreamAddress, Integer> from = borrowed.computeIfAbsent(peer, name -> new HashMap<>());
        granted.forEach((address, count) -> from.merge(address, count, Integer::sum));
        recount();
    }

    /**
     * Notes whether a peer has requests waiting.
     *
     * @param peer the id of the peer, not null
     * @param isShort true when it wants its slots back
     */
    public void setShort(String peer, boolean isShort) {
        if (isShort) {
            shortPeers.add(peer);
        } else {
            shortPeers.remove(peer);
        }
    }

    /**
     * Gives a slot that has just become free back to a peer that wants it.
     *
     * @param address the instance, not null
     * @return the peers that got a slot back, never null
     */
    public List<String> returnRecalled(UpstreamAddress address) {
        InstanceSlots slots = instances.get(address);
        if (shortPeers.isEmpty() || slots == null || slots.borrowed() == 0 || slots.freeHeld() == 0) {
            return List.of();
        }
        for (String peer : shortPeers) {
            Map<UpstreamAddress, Integer> from = borrowed.getOrDefault(peer, Map.of());
            int count = from.getOrDefault(address, 0);
            if (count > 0) {
                from.put(address, count - 1);
                slots.setBorrowed(slots.borrowed() - 1);
                return List.of(peer);
            }
        }
        return List.of();
    }

    /** Gives back the borrowed slots that are free; the peers learn of it from the next report. */
    public void returnFreeSlots() {
        for (Map<UpstreamAddress, Integer> from : borrowed.values()) {
            from.replaceAll((address, count) -> count - giveBack(address, count));
            from.values().removeIf(count -> count == 0);
        }
    }

    private int giveBack(UpstreamAddress address, int count) {
        InstanceSlots slots = instances.get(address);
        if (slots == null) {
            return count;
        }
        int returned = Math.min(count, slots.freeHeld());
        slots.setBorrowed(slots.borrowed() - returned);
        return returned;
    }

    private void resize(InstanceSlots slots, int count, int connections) {
        int share = Math.max(1, connections / entries.size());
        slots.resize(count, connections, share, SlotShares.owned(slots.address(), count, entryId, entries));
    }

    private void addPeerLoad(UpstreamAddress address, int count) {
        InstanceSlots slots = instances.get(address);
        if (slots != null) {
            slots.setInFlightAtPeers(Math.max(0, slots.inFlightAtPeers() + count));
        }
    }

    private void recount() {
        for (InstanceSlots slots : instances.values()) {
            UpstreamAddress address = slots.address();
            slots.setLent(lent.values().stream()
                    .mapToInt(loan -> loan.slots.getOrDefault(address, 0))
                    .sum());
            slots.setBorrowed(borrowed.values().stream()
                    .mapToInt(from -> from.getOrDefault(address, 0))
                    .sum());
            slots.setInFlightAtPeers(peerLoads.values().stream()
                    .mapToInt(loads -> loads.getOrDefault(address, 0))
                    .sum());
        }
    }

    private static final class PeerLoan {
        /** The number of the last grant. */
        private long lastGrant;

        /** The slots of each instance that the peer holds. */
        private final Map<UpstreamAddress, Integer> slots = new HashMap<>();
    }
}
