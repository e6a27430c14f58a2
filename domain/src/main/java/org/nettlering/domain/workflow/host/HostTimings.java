package org.nettlering.domain.workflow.host;

import java.time.Duration;

/**
 * The lease and stop durations that apply to hosts.
 *
 * <p>Immutable and thread-safe.
 *
 * @param lease the lease duration requested at each renewal; runs may continue that long without another renewal, not
 *     null
 * @param maxLease the longest lease that a host grants, also to an earlier leader, not null
 * @param stopGrace the maximum duration of a stop, not null
 */
public record HostTimings(Duration lease, Duration maxLease, Duration stopGrace) {}
