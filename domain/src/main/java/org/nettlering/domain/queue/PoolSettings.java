package org.nettlering.domain.queue;

/**
 * A pool of hosts that runs the tasks of queues.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name, unique in a configuration, not null
 * @param enforcesCapacity true if its hosts refuse by themselves what does not fit
 * @param standby true if its hosts are switched off and kept in reserve
 */
public record PoolSettings(String name, boolean enforcesCapacity, boolean standby) {}
