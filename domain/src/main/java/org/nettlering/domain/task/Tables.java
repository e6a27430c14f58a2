package org.nettlering.domain.task;

import java.util.LinkedHashMap;
import java.util.Map;
import org.nettlering.domain.error.ErrorCode;

/** The tables that the parts of the task state share. Not thread-safe. */
final class Tables {
    /** Jobs by id, in the order of submission. */
    final Map<String, Task> tasks = new LinkedHashMap<>();

    /** Workers by id. */
    final Map<String, Worker> workers = new LinkedHashMap<>();

    /** What is kept of jobs that ended. */
    final FinishedJobs finished = new FinishedJobs();

    /** The sums of what is committed. */
    final CommitmentBook book = new CommitmentBook();

    /** Ends a job that holds no commitment. */
    void finish(Task task, TaskPhase phase, long timeMillis, String rule, String figures) {
        task.enter(phase, timeMillis);
        task.explain(timeMillis, phase.text(), rule, figures);
        book.touch(task);
        for (String forgotten : finished.add(task.job().jobId())) {
            tasks.remove(forgotten);
        }
    }

    /** Refuses a command because something else came first. */
    static CommandOutcome stale(String message) {
        return CommandOutcome.refused(ErrorCode.REVISION_CONFLICT, message);
    }

    /** Refuses a command that rests on another epoch. */
    static CommandOutcome staleEpoch(String jobId, long epoch) {
        return stale("epoch " + epoch + " of job \"" + jobId + "\" is not the present one");
    }
}
