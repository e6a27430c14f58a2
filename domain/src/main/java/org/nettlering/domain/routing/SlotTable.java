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
    private final Map<String, Loan> loansByPeer = new HashMap<>();

    /** What this entry holds from each peer. */
    private final Map<String, Map<UpstreamAddress, Integer>> borrowedByPeer = new TreeMap<>();

    /** The peers that have requests waiting, and want their slots back. */
    private final Set<String> backloggedPeers = new HashSet<>();

    /** What each peer has in flight, as it reported last. */
    private final Map<String, Map<UpstreamAddress, Integer>> inFlightByPeer = new HashMap<>();

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
    public Map<UpstreamAddress, Integer> inFlightByInstance() {
        Map<UpstreamAddress, Integer> inFlight = new HashMap<>();
        instances.forEach((address, slots) -> {
            if (slots.inFlight() > 0) {
                inFlight.put(address, slots.inFlight());
            }
        });
        return inFlight;
    }

    /**
     * Returns what this entry holds from a peer.
     *
     * @param peer the id of the peer, not null
     * @return the borrowed slots of each instance, never null
     */
    public Map<UpstreamAddress, Integer> borrowedFrom(String peer) {
        return Map.copyOf(borrowedByPeer.getOrDefault(peer, Map.of()));
    }

    /**
     * Sets which entries share the slots; loans to and from the ones that are gone end.
     *
     * @param alive the ids of the entries, not null
     */
    public void setEntries(Collection<String> alive) {
        TreeSet<String> updated = new TreeSet<>(alive);
        updated.add(entryId);
        if (List.copyOf(updated).equals(List.copyOf(entries))) {
            return;
        }
        entries = List.copyOf(updated);
        loansByPeer.keySet().retainAll(updated);
        borrowedByPeer.keySet().retainAll(updated);
        inFlightByPeer.keySet().retainAll(updated);
        backloggedPeers.retainAll(updated);
        instances.values().forEach(slots -> updateCapacity(slots, slots.slots(), slots.connections()));
        recomputeCounts();
    }

    /**
     * Takes in what an instance announced.
     *
     * @param address the instance, not null
     * @param slots how many requests it runs at a time
     * @param connections how many connections it accepts
     * @return its slots, never null
     */
    public InstanceSlots putInstance(UpstreamAddress address, int slots, int connections) {
        InstanceSlots instance = instances.get(address);
        if (instance == null) {
            instance = InstanceSlots.of(address);
            instances.put(address, instance);
        }
        if (instance.slots() != slots || instance.connections() != connections) {
            updateCapacity(instance, slots, connections);
        }
        return instance;
    }

    /**
     * Drops the instances that are not used any more and have nothing in flight.
     *
     * @param used the instances that some service uses, not null
     * @return the dropped ones, never null
     */
    public List<UpstreamAddress> retainInstances(Collection<UpstreamAddress> used) {
        List<UpstreamAddress> removed = instances.values().stream()
                .filter(slots -> slots.inFlight() == 0 && !used.contains(slots.address()))
                .map(InstanceSlots::address)
                .toList();
        removed.forEach(instances::remove);
        return removed;
    }

    /**
     * Takes what a peer has in flight.
     *
     * @param peer the id of the peer, not null
     * @param inFlight the requests in flight at each instance, not null
     */
    public void setPeerInFlight(String peer, Map<UpstreamAddress, Integer> inFlight) {
        Map<UpstreamAddress, Integer> before = inFlightByPeer.getOrDefault(peer, Map.of());
        before.forEach((address, count) -> addPeerInFlight(address, -count));
        inFlightByPeer.put(peer, Map.copyOf(inFlight));
        inFlight.forEach(this::addPeerInFlight);
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
        List<InstanceSlots> byLendableSlots = new ArrayList<>(candidates);
        byLendableSlots.sort(
                Comparator.comparingInt(InstanceSlots::lendableSlots).reversed());
        int lendable =
                byLendableSlots.stream().mapToInt(InstanceSlots::lendableSlots).sum();
        int remaining = Math.min(wanted, (lendable + 1) / 2);
        Map<UpstreamAddress, Integer> granted = new HashMap<>();
        Loan loan = loansByPeer.computeIfAbsent(peer, name -> new Loan());
        for (InstanceSlots slots : byLendableSlots) {
            if (remaining == 0 || slots.lendableSlots() == 0) {
                break;
            }
            slots.setLentSlots(slots.lentSlots() + 1);
            loan.slots.merge(slots.address(), 1, Integer::sum);
            granted.put(slots.address(), 1);
            remaining--;
        }
        if (!granted.isEmpty()) {
            loan.lastGrantNumber++;
        }
        return new SlotGrant(loan.lastGrantNumber, granted);
    }

    /**
     * Takes a peer's report of what it holds from this entry.
     *
     * @param peer the id of the peer, not null
     * @param lastGrantNumber the number of the last grant that the peer has seen
     * @param held the slots of each instance, not null
     */
    public void reconcileLoan(String peer, long lastGrantNumber, Map<UpstreamAddress, Integer> held) {
        Loan loan = loansByPeer.computeIfAbsent(peer, name -> new Loan());
        if (lastGrantNumber < loan.lastGrantNumber && lastGrantNumber > 0) {
            return;
        }
        loan.lastGrantNumber = Math.max(loan.lastGrantNumber, lastGrantNumber);
        loan.slots.clear();
        loan.slots.putAll(held);
        recomputeCounts();
    }

    /**
     * Takes slots that a peer lent.
     *
     * @param peer the id of the peer, not null
     * @param granted the slots of each instance, not null
     */
    public void addBorrowed(String peer, Map<UpstreamAddress, Integer> granted) {
        Map<UpstreamAddress, Integer> borrowedSlots = borrowedByPeer.computeIfAbsent(peer, name -> new HashMap<>());
        granted.forEach((address, count) -> borrowedSlots.merge(address, count, Integer::sum));
        recomputeCounts();
    }

    /**
     * Notes whether a peer has requests waiting.
     *
     * @param peer the id of the peer, not null
     * @param isBacklogged true when it wants its slots back
     */
    public void setPeerBacklogged(String peer, boolean isBacklogged) {
        if (isBacklogged) {
            backloggedPeers.add(peer);
        } else {
            backloggedPeers.remove(peer);
        }
    }

    /**
     * Gives a slot that has just become free back to a peer that wants it.
     *
     * @param address the instance, not null
     * @return the peers that got a slot back, never null
     */
    public List<String> returnSlotToBackloggedPeer(UpstreamAddress address) {
        InstanceSlots slots = instances.get(address);
        if (backloggedPeers.isEmpty() || slots == null || slots.borrowedSlots() == 0 || slots.freeSlots() == 0) {
            return List.of();
        }
        for (String peer : backloggedPeers) {
            Map<UpstreamAddress, Integer> borrowedSlots = borrowedByPeer.getOrDefault(peer, Map.of());
            int count = borrowedSlots.getOrDefault(address, 0);
            if (count > 0) {
                borrowedSlots.put(address, count - 1);
                slots.setBorrowedSlots(slots.borrowedSlots() - 1);
                return List.of(peer);
            }
        }
        return List.of();
    }

    /** Gives back the borrowed slots that are free; the peers learn of it from the next report. */
    public void returnFreeSlots() {
        for (Map<UpstreamAddress, Integer> borrowedSlots : borrowedByPeer.values()) {
            borrowedSlots.replaceAll((address, count) -> count - returnSlots(address, count));
            borrowedSlots.values().removeIf(count -> count == 0);
        }
    }

    private int returnSlots(UpstreamAddress address, int count) {
        InstanceSlots slots = instances.get(address);
        if (slots == null) {
            return count;
        }
        int returned = Math.min(count, slots.freeSlots());
        slots.setBorrowedSlots(slots.borrowedSlots() - returned);
        return returned;
    }

    private void updateCapacity(InstanceSlots slots, int count, int connections) {
        int share = Math.max(1, connections / entries.size());
        slots.updateCapacity(count, connections, share, SlotShares.owned(slots.address(), count, entryId, entries));
    }

    private void addPeerInFlight(UpstreamAddress address, int count) {
        InstanceSlots slots = instances.get(address);
        if (slots != null) {
            slots.setInFlightAtPeers(Math.max(0, slots.inFlightAtPeers() + count));
        }
    }

    private void recomputeCounts() {
        for (InstanceSlots slots : instances.values()) {
            UpstreamAddress address = slots.address();
            slots.setLentSlots(loansByPeer.values().stream()
                    .mapToInt(loan -> loan.slots.getOrDefault(address, 0))
                    .sum());
            slots.setBorrowedSlots(borrowedByPeer.values().stream()
                    .mapToInt(borrowedSlots -> borrowedSlots.getOrDefault(address, 0))
                    .sum());
            slots.setInFlightAtPeers(inFlightByPeer.values().stream()
                    .mapToInt(inFlight -> inFlight.getOrDefault(address, 0))
                    .sum());
        }
    }

    private static final class Loan {
        /** The number of the last grant. */
        private long lastGrantNumber;

        /** The slots of each instance that the peer holds. */
        private final Map<UpstreamAddress, Integer> slots = new HashMap<>();
    }
}
