package org.nettlering.entry.operators;

/**
 * Whether the load balancer should send requests to this entry.
 *
 * <p>Immutable and thread-safe.
 *
 * @param ready true if it should
 * @param reason why the entry is not ready, or {@code ready}, not null
 */
public record ReadinessReport(boolean ready, String reason) {}
