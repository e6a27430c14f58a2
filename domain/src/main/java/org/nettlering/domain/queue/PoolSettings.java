package org.nettlering.domain.queue;

/**
 * A pool of hosts on which the tasks of queues run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name, unique in a configuration, not null
 * @param enforcesCapacity true if its hosts themselves reject tasks that exceed their capacity
 * @param standby true if its hosts are kept in reserve, powered off
 */
public record PoolSettings(String name, boolean enforcesCapacity, boolean standby) {}
