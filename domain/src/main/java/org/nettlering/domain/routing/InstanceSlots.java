package org.nettlering.domain.routing;

import org.nettlering.domain.upstream.UpstreamAddress;

/**
 * The slots and requests in flight of one upstream instance, from the point of view of one entry.
 *
 * <p>Mutable and not thread-safe: the owner guards it with a lock.
 */
public final class InstanceSlots {
    private final UpstreamAddress address;

    private int slots;

    /** The limit on connections from all entries together. */
    private int connections;

    /** The limit on requests in flight from this entry, which is its share of the connections. */
    private int connectionLimit;

    private int inFlight;

    /** The requests in flight from peers, as last reported. */
    private int inFlightAtPeers;

    /** The slots of the share of this entry, lent ones included. */
    private int ownedSlots;

    /** The owned slots that are lent to peers. */
    private int lentSlots;

    /** The slots borrowed from peers. */
    private int borrowedSlots;

    /** The smoothed response time, zero before the first response. */
    private double smoothedResponseNanos;

    /**
     * Creates the state of an instance without slots and without requests in flight.
     *
     * @param address the address of the instance, not null
     * @return a new object, never null
     */
    public static InstanceSlots of(UpstreamAddress address) {
        return new InstanceSlots(address);
    }

    private InstanceSlots(UpstreamAddress address) {
        this.address = address;
    }

    /**
     * Returns the address of the instance.
     *
     * @return the address, never null
     */
    public UpstreamAddress address() {
        return address;
    }

    /**
     * Returns how many requests the instance runs concurrently.
     *
     * @return the number of slots
     */
    public int slots() {
        return slots;
    }

    /**
     * Returns the limit on connections to the instance from all entries together.
     *
     * @return the number of connections
     */
    public int connections() {
        return connections;
    }

    /**
     * Returns the number of requests in flight from this entry.
     *
     * @return the count
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns the number of requests in flight from peers, as last reported.
     *
     * @return the count
     */
    public int inFlightAtPeers() {
        return inFlightAtPeers;
    }

    /**
     * Returns the number of requests in flight from this entry and, as last reported, from its peers.
     *
     * @return the count
     */
    public int totalInFlight() {
        return inFlight + inFlightAtPeers;
    }

    /**
     * Returns how many more requests this entry may send within its share of the connections.
     *
     * @return the count, at least zero
     */
    public int freeConnections() {
        return Math.max(0, connectionLimit - inFlight);
    }

    /**
     * Returns the number of slots that this entry may use: the owned ones that are not lent, and the borrowed ones.
     *
     * @return the count
     */
    public int heldSlots() {
        return ownedSlots - lentSlots + borrowedSlots;
    }

    /**
     * Returns the number of held slots without a request in flight.
     *
     * @return the count, at least zero
     */
    public int freeSlots() {
        return Math.max(0, heldSlots() - inFlight);
    }

    /**
     * Returns the number of owned slots that are free and can be lent to a peer.
     *
     * @return the count, at least zero
     */
    public int lendableSlots() {
        return Math.max(0, Math.min(ownedSlots - lentSlots, freeSlots()));
    }

    /**
     * Returns the number of owned slots that are lent to peers.
     *
     * @return the count
     */
    public int lentSlots() {
        return lentSlots;
    }

    /**
     * Returns the number of slots borrowed from peers.
     *
     * @return the count
     */
    public int borrowedSlots() {
        return borrowedSlots;
    }

    /**
     * Returns the smoothed response time.
     *
     * @return the time in nanoseconds, zero before the first response
     */
    public double smoothedResponseNanos() {
        return smoothedResponseNanos;
    }

    /**
     * Sets the announced capacity of the instance and the share of this entry.
     *
     * @param newSlots how many requests the instance runs concurrently
     * @param newConnections the limit on connections from all entries together
     * @param newConnectionLimit the limit on requests in flight from this entry
     * @param newOwnedSlots the number of slots that this entry owns
     */
    public void updateCapacity(int newSlots, int newConnections, int newConnectionLimit, int newOwnedSlots) {
        slots = newSlots;
        connections = newConnections;
        connectionLimit = newConnectionLimit;
        ownedSlots = newOwnedSlots;
    }

    /**
     * Sets the number of requests in flight from peers.
     *
     * @param count the number of requests
     */
    public void setInFlightAtPeers(int count) {
        inFlightAtPeers = count;
    }

    /**
     * Sets the number of owned slots that are lent to peers.
     *
     * @param count the number of slots
     */
    public void setLentSlots(int count) {
        lentSlots = count;
    }

    /**
     * Sets the number of slots borrowed from peers.
     *
     * @param count the number of slots
     */
    public void setBorrowedSlots(int count) {
        borrowedSlots = count;
    }

    /** Counts a request from this entry as in flight. */
    public void requestStarted() {
        inFlight++;
    }

    /** Counts a request from this entry as no longer in flight. */
    public void requestFinished() {
        inFlight--;
    }

    /**
     * Updates the smoothed response time with a measured one.
     *
     * @param nanos the time from dispatch to response, in nanoseconds
     */
    public void recordResponse(long nanos) {
        smoothedResponseNanos =
                smoothedResponseNanos == 0 ? nanos : smoothedResponseNanos + (nanos - smoothedResponseNanos) / 8;
    }
}
