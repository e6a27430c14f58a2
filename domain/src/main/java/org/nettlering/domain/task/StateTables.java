package org.nettlering.domain.task;

import java.util.LinkedHashMap;
import java.util.Map;
import org.nettlering.domain.error.ErrorCode;

/** The tables of the task state, shared by its command handlers. Not thread-safe. */
final class StateTables {
    /** By job id, in the order of submission. */
    final Map<String, Task> tasks = new LinkedHashMap<>();

    /** By worker id, in the order of first registration. */
    final Map<String, Worker> workers = new LinkedHashMap<>();

    final FinishedJobs finishedJobs = new FinishedJobs();

    final AllocationTable allocations = new AllocationTable();

    /** Moves a job without allocation to a terminal phase and applies the retention limits of finished jobs. */
    void finish(Task task, TaskPhase phase, long timeMillis, String rule, String details) {
        task.enterPhase(phase, timeMillis);
        task.recordDecision(timeMillis, phase.text(), rule, details);
        allocations.markChanged(task);
        for (String removedJobId : finishedJobs.add(task.job().jobId())) {
            tasks.remove(removedJobId);
        }
    }

    /** Rejects a command whose preconditions no longer hold. */
    static TaskCommandResult rejectStale(String message) {
        return TaskCommandResult.rejected(ErrorCode.REVISION_CONFLICT, message);
    }

    /** Rejects a command for an epoch other than the current one. */
    static TaskCommandResult rejectStaleEpoch(String jobId, long epoch) {
        return rejectStale("epoch " + epoch + " of job \"" + jobId + "\" is not the current epoch");
    }
}
