package org.nettlering.domain.workflow;

/**
 * A run that may be at work on a host: its start was logged, its end was not.
 *
 * <p>Immutable and thread-safe.
 *
 * @param run the run, not null
 * @param host the host, not null
 * @param checkpoint the progress that the start carried, empty if none, not null
 */
public record ActiveRun(RunId run, HostIncarnation host, String checkpoint) {}
