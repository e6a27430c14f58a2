package org.nettlering.control.workflow;

import org.nettlering.domain.workflow.JobPhase;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.WorkflowState;

/** Why the leader decided to stop a run. The constant names appear in logs. */
enum StopReason {
    JOB_CANCELLED,
    JOB_FAILED,
    JOB_COMPLETED,
    /** The job of the run is no longer stored. */
    JOB_REMOVED,
    /** Another run has completed the task. */
    DUPLICATE,
    /** The start command got no response, so the run may have started or may start later. */
    UNANSWERED_START,
    /** A poll response omits the run although the host had confirmed it. */
    NOT_REPORTED,
    /** The run makes no progress. */
    STALLED,
    /** The run is throttled, and its task shall run on another host. */
    MIGRATED,
    /** The host is to be emptied, and the task shall run on another host. */
    HOST_EMPTIED,
    /** The host has announced that it shuts down now, and the task shall run on another host. */
    HOST_SHUTS_DOWN,
    /** The host reports a run that the leader does not track there. */
    NOT_TRACKED;

    /** Returns the reason to stop the runs of a finished job. */
    static StopReason ofFinishedJob(JobPhase phase) {
        return switch (phase) {
            case CANCELLED -> JOB_CANCELLED;
            case FAILED -> JOB_FAILED;
            case COMPLETED -> JOB_COMPLETED;
            case QUEUED, RUNNING -> throw new IllegalArgumentException("the job is not finished: " + phase);
        };
    }

    /** Returns the reason to stop a run that is not needed: its job is finished, or its task is completed. */
    static StopReason ofUnneeded(WorkflowState state, RunId run) {
        return state.job(run.task().jobId())
                .map(job -> job.phase().isOpen() ? DUPLICATE : ofFinishedJob(job.phase()))
                .orElse(JOB_REMOVED);
    }
}
