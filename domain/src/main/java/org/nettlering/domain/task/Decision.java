package org.nettlering.domain.task;

/**
 * Why something was decided, for {@code job show} and {@code explain}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param timeMillis the leader's wall clock, in milliseconds since the epoch
 * @param summary what was decided, not null
 * @param rule the rule that led to it, not null
 * @param details the figures it rested on, not null
 */
public record Decision(long timeMillis, String summary, String rule, String details) {}
