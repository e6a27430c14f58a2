package org.nettlering.domain.task;

/**
 * A change of a job or worker and the reason for it, as shown by {@code job show} and {@code explain}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param timeMillis the leader's wall clock, in milliseconds since the epoch
 * @param summary the change, not null
 * @param rule the rule or event that caused it, not null
 * @param details the values on which it was based, not null
 */
public record Decision(long timeMillis, String summary, String rule, String details) {}
