package org.nettlering.domain.workflow.host;

import org.nettlering.domain.workflow.RunId;

/**
 * What the leader of one term knows of a run on a host.
 *
 * <p>For logs only. Immutable and thread-safe.
 *
 * @param run the run, not null
 * @param stage how much is known about the start of the run, not null
 * @param confirmed whether the host has confirmed the run
 * @param stopRequested whether a stop was requested
 * @param terminationFound whether a termination is known that is not committed yet
 */
public record TrackedRunStatus(
        RunId run, String stage, boolean confirmed, boolean stopRequested, boolean terminationFound) {}
