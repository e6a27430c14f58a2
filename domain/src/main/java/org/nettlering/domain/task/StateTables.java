package org.nettlering.domain.task;

import java.util.LinkedHashMap;
import java.util.Map;
import org.nettlering.domain.error.ErrorCode;

/** The tables that the parts of the task state share. Not thread-safe. */
final class StateTables {
    /** Jobs by id, in the order of submission. */
    final Map<String, Task> tasks = new LinkedHashMap<>();

    /** Workers by id. */
    final Map<String, Worker> workers = new LinkedHashMap<>();

    /** What is kept of jobs that ended. */
    final FinishedJobs finishedJobs = new FinishedJobs();

    /** The sums of what is committed. */
    final AllocationTable allocations = new AllocationTable();

    /** Ends a job that holds no commitment. */
    void finish(Task task, TaskPhase phase, long timeMillis, String rule, String details) {
        task.enterPhase(phase, timeMillis);
        task.recordDecision(timeMillis, phase.text(), rule, details);
        allocations.markChanged(task);
        for (String removedJobId : finishedJobs.add(task.job().jobId())) {
            tasks.remove(removedJobId);
        }
    }

    /** Refuses a command because something else came first. */
    static TaskCommandResult rejectStale(String message) {
        return TaskCommandResult.rejected(ErrorCode.REVISION_CONFLICT, message);
    }

    /** Refuses a command that rests on another epoch. */
    static TaskCommandResult rejectStaleEpoch(String jobId, long epoch) {
        return rejectStale("epoch " + epoch + " of job \"" + jobId + "\" is not the present one");
    }
}
