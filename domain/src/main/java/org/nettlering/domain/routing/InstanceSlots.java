package org.nettlering.domain.routing;

import org.nettlering.domain.upstream.UpstreamAddress;

/**
 * The slots of one upstream instance, as one entry counts them.
 *
 * <p>Mutable and not thread-safe: its owner guards it by a lock.
 */
public final class InstanceSlots {
    /** Where the instance takes requests. */
    private final UpstreamAddress address;

    /** How many requests the instance runs at a time. */
    private int slots;

    /** How many connections the instance accepts from all entries together. */
    private int connections;

    /** How many requests this entry may have in flight there at most, by its share of the connections. */
    private int connectionLimit;

    /** Requests of this entry in flight. */
    private int inFlight;

    /** Requests of the peers in flight, as they reported last. */
    private int inFlightAtPeers;

    /** Slots that belong to this entry by its share. */
    private int ownedSlots;

    /** Slots of the share that peers hold now. */
    private int lentSlots;

    /** Slots that this entry holds from peers. */
    private int borrowedSlots;

    /** The smoothed response time, zero before the first answer. */
    private double smoothedResponseNanos;

    /**
     * Creates the count of an instance with nothing in flight.
     *
     * @param address where it takes requests, not null
     * @return a new count, never null
     */
    public static InstanceSlots of(UpstreamAddress address) {
        return new InstanceSlots(address);
    }

    private InstanceSlots(UpstreamAddress address) {
        this.address = address;
    }

    /**
     * Returns where the instance takes requests.
     *
     * @return the address, never null
     */
    public UpstreamAddress address() {
        return address;
    }

    /**
     * Returns how many requests the instance runs at a time.
     *
     * @return the slots
     */
    public int slots() {
        return slots;
    }

    /**
     * Returns how many connections the instance accepts from all entries together.
     *
     * @return the connections
     */
    public int connections() {
        return connections;
    }

    /**
     * Returns how many requests of this entry are in flight.
     *
     * @return the count
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns how many requests of the peers are in flight, as they reported last.
     *
     * @return the count
     */
    public int inFlightAtPeers() {
        return inFlightAtPeers;
    }

    /**
     * Returns how many requests of all entries are in flight, as far as this entry knows.
     *
     * @return the count
     */
    public int totalInFlight() {
        return inFlight + inFlightAtPeers;
    }

    /**
     * Returns how many more requests the connections allow.
     *
     * @return the free connections, at least zero
     */
    public int freeConnections() {
        return Math.max(0, connectionLimit - inFlight);
    }

    /**
     * Returns how many slots this entry holds, its own ones and borrowed ones.
     *
     * @return the count
     */
    public int heldSlots() {
        return ownedSlots - lentSlots + borrowedSlots;
    }

    /**
     * Returns how many slots this entry holds and does not use.
     *
     * @return the count, at least zero
     */
    public int freeSlots() {
        return Math.max(0, heldSlots() - inFlight);
    }

    /**
     * Returns how many slots of this entry's share are free to lend.
     *
     * @return the count, at least zero
     */
    public int lendableSlots() {
        return Math.max(0, Math.min(ownedSlots - lentSlots, freeSlots()));
    }

    /**
     * Returns how many slots of this entry's share the peers hold.
     *
     * @return the count
     */
    public int lentSlots() {
        return lentSlots;
    }

    /**
     * Returns how many borrowed slots this entry holds.
     *
     * @return the count
     */
    public int borrowedSlots() {
        return borrowedSlots;
    }

    /**
     * Returns the smoothed response time.
     *
     * @return nanoseconds, zero before the first answer
     */
    public double smoothedResponseNanos() {
        return smoothedResponseNanos;
    }

    /**
     * Sets what the instance announced and what this entry's part of it is.
     *
     * @param newSlots how many requests the instance runs at a time
     * @param newConnections how many connections the instance accepts from all entries together
     * @param newConnectionLimit how many requests this entry may have in flight there
     * @param newOwnedSlots how many slots belong to this entry
     */
    public void updateCapacity(int newSlots, int newConnections, int newConnectionLimit, int newOwnedSlots) {
        slots = newSlots;
        connections = newConnections;
        connectionLimit = newConnectionLimit;
        ownedSlots = newOwnedSlots;
    }

    /**
     * Sets what the peers reported.
     *
     * @param count requests of the peers in flight
     */
    public void setInFlightAtPeers(int count) {
        inFlightAtPeers = count;
    }

    /**
     * Sets how many slots the peers hold from this entry.
     *
     * @param count the slots
     */
    public void setLentSlots(int count) {
        lentSlots = count;
    }

    /**
     * Sets how many slots this entry holds from its peers.
     *
     * @param count the slots
     */
    public void setBorrowedSlots(int count) {
        borrowedSlots = count;
    }

    /** Counts a request that was sent. */
    public void requestStarted() {
        inFlight++;
    }

    /** Counts a request that has ended. */
    public void requestFinished() {
        inFlight--;
    }

    /**
     * Takes a response time into the smoothed one.
     *
     * @param nanos the time from dispatch to answer
     */
    public void recordResponse(long nanos) {
        smoothedResponseNanos =
                smoothedResponseNanos == 0 ? nanos : smoothedResponseNanos + (nanos - smoothedResponseNanos) / 8;
    }
}
