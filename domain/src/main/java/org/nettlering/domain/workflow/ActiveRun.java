package org.nettlering.domain.workflow;

/**
 * A run that may be running on a host: its start is committed, its termination is not.
 *
 * <p>Immutable and thread-safe.
 *
 * @param run the run, not null
 * @param host the host incarnation, not null
 * @param checkpoint the checkpoint from which the run resumes, empty if none, not null
 */
public record ActiveRun(RunId run, HostIncarnation host, String checkpoint) {}
