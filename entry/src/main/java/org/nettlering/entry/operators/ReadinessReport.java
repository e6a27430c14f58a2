package org.nettlering.entry.operators;

/**
 * Whether the balancer should send requests to this entry.
 *
 * <p>Immutable and thread-safe.
 *
 * @param ready true when it should
 * @param reason why not, or {@code ready}, not null
 */
public record ReadinessReport(boolean ready, String reason) {}
