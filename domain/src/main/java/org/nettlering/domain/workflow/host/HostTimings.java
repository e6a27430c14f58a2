package org.nettlering.domain.workflow.host;

import java.time.Duration;

/**
 * The times that hosts keep to.
 *
 * <p>Immutable and thread-safe.
 *
 * @param lease how long what runs may run on without a renewal; asked for at each renewal, not null
 * @param maxLease the longest lease that a host grants, also one that an earlier leader asked for, not null
 * @param stopGrace how long a stop may take, not null
 */
public record HostTimings(Duration lease, Duration maxLease, Duration stopGrace) {}
