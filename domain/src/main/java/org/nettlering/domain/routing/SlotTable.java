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
 * The slots of all upstreams that one entry owns, lends to its peers and borrows from them.
 *
 * <p>An entry lends only slots that it owns, and counts them as lent until the borrower reports that it holds fewer.
 * Reports contain absolute numbers, so that the next report corrects the effect of a lost message. Mutable and not
 * thread-safe: the owner guards it with a lock.
 */
public final class SlotTable {
    private final String entryId;

    /** The sorted ids of the entries that share the slots, including this entry. */
    private Collection<String> entries;

    private final Map<UpstreamAddress, InstanceSlots> instances = new HashMap<>();

    /** The slots that this entry lends, by peer. */
    private final Map<String, Loan> loansByPeer = new HashMap<>();

    /** The slots that this entry borrows, by peer and instance. */
    private final Map<String, Map<UpstreamAddress, Integer>> borrowedByPeer = new TreeMap<>();

    /** The peers that have queued requests and want their slots back. */
    private final Set<String> backloggedPeers = new HashSet<>();

    /** The requests in flight, by peer and instance, as last reported. */
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
     * @return its slots, or null when the instance is unknown
     */
    public @Nullable InstanceSlots find(UpstreamAddress address) {
        return instances.get(address);
    }

    /**
     * Returns the number of requests in flight from this entry by instance.
     *
     * @return the counts, without instances that have no request in flight, never null
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
     * Returns the slots that this entry borrows from a peer.
     *
     * @param peer the id of the peer, not null
     * @return the number of borrowed slots by instance, never null
     */
    public Map<UpstreamAddress, Integer> borrowedFrom(String peer) {
        return Map.copyOf(borrowedByPeer.getOrDefault(peer, Map.of()));
    }

    /**
     * Sets the entries that share the slots; loans to and from all other entries are cancelled.
     *
     * @param liveEntries the ids of the live entries, with or without this entry, not null
     */
    public void setEntries(Collection<String> liveEntries) {
        TreeSet<String> updated = new TreeSet<>(liveEntries);
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
     * Adds an instance or updates its announced capacity.
     *
     * @param address the instance, not null
     * @param slots how many requests the instance runs concurrently
     * @param connections the limit on connections to the instance from all entries together
     * @return the slots of the instance, never null
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
     * Removes the unused instances without requests in flight.
     *
     * @param used the instances that are in use by any service, not null
     * @return the removed instances, never null
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
     * Replaces the reported requests in flight from a peer.
     *
     * @param peer the id of the peer, not null
     * @param inFlight the number of requests in flight by instance, not null
     */
    public void setPeerInFlight(String peer, Map<UpstreamAddress, Integer> inFlight) {
        Map<UpstreamAddress, Integer> before = inFlightByPeer.getOrDefault(peer, Map.of());
        before.forEach((address, count) -> addPeerInFlight(address, -count));
        inFlightByPeer.put(peer, Map.copyOf(inFlight));
        inFlight.forEach(this::addPeerInFlight);
    }

    /**
     * Lends free owned slots to a peer.
     *
     * <p>Lends at most one slot of each instance and at most half of all lendable slots of the candidates, rounded up.
     *
     * @param peer the id of the peer, not null
     * @param candidates the instances of the service that the peer needs slots for, not null
     * @param requested the number of slots that the peer requests
     * @return the grant, never null; if it has no slots, its number is that of the previous grant
     */
    public SlotGrant lend(String peer, List<InstanceSlots> candidates, int requested) {
        List<InstanceSlots> byLendableSlots = new ArrayList<>(candidates);
        byLendableSlots.sort(
                Comparator.comparingInt(InstanceSlots::lendableSlots).reversed());
        int lendable =
                byLendableSlots.stream().mapToInt(InstanceSlots::lendableSlots).sum();
        int remaining = Math.min(requested, (lendable + 1) / 2);
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
     * Replaces the slots lent to a peer by those that the peer reports. A report with a number other than zero that is
     * lower than that of the last grant is outdated and is ignored.
     *
     * @param peer the id of the peer, not null
     * @param lastGrantNumber the number of the last grant that the peer received, or zero if it received none
     * @param held the number of borrowed slots by instance, not null
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
     * Adds slots that a peer lent to this entry.
     *
     * @param peer the id of the peer, not null
     * @param granted the number of slots by instance, not null
     */
    public void addBorrowed(String peer, Map<UpstreamAddress, Integer> granted) {
        Map<UpstreamAddress, Integer> borrowedSlots = borrowedByPeer.computeIfAbsent(peer, name -> new HashMap<>());
        granted.forEach((address, count) -> borrowedSlots.merge(address, count, Integer::sum));
        recomputeCounts();
    }

    /**
     * Sets whether a peer has a backlog of queued requests.
     *
     * @param peer the id of the peer, not null
     * @param isBacklogged true when the peer wants its slots back
     */
    public void setPeerBacklogged(String peer, boolean isBacklogged) {
        if (isBacklogged) {
            backloggedPeers.add(peer);
        } else {
            backloggedPeers.remove(peer);
        }
    }

    /**
     * Returns a borrowed slot that was just released to its owner, if the owner has a backlog of queued requests.
     *
     * @param address the instance, not null
     * @return the id of the peer that got the slot back, or an empty list, never null
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

    /** Returns the free borrowed slots to their owners; the next report informs the peers. */
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
        private long lastGrantNumber;

        /** The number of lent slots by instance. */
        private final Map<UpstreamAddress, Integer> slots = new HashMap<>();
    }
}
