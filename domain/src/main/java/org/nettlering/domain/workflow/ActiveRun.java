package org.nettlering.domain.workflow;

/**
 * A run that may be running on a host: its start is committed, its termination is not.
 *
 * <p>Immutable and thread-safe.
 *
 * @param run the run, not null
 * @param host the host incarnation, not null
 * @param checkpoint the checkpoint from which the run resumes, empty if none, not null
 * @param hostStartMillis when the host incarnation had started that the run was planned for, in milliseconds since 1970, or
 *     {@link HostIncarnation#UNKNOWN_START}
 */
public record ActiveRun(RunId run, HostIncarnation host, String checkpoint, long hostStartMillis) {
    /**
     * Creates a run on a host that does not tell when it started.
     *
     * @param run the run, not null
     * @param host the host incarnation, not null
     * @param checkpoint the checkpoint from which the run resumes, empty if none, not null
     */
    public ActiveRun(RunId run, HostIncarnation host, String checkpoint) {
        this(run, host, checkpoint, HostIncarnation.UNKNOWN_START);
    }
}
