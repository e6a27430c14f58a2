package org.nettlering.domain.task;

import java.util.Map;
import java.util.Set;

/**
 * Decides whether a failure is held against the worker or against the job, by comparison.
 *
 * <p>A failure is held against the worker at first. When the job fails on another worker too, the job is at fault and the
 * workers are cleared; when it completes elsewhere, the fault of the workers is proved.
 */
final class FailureBlame {
    private FailureBlame() {}

    /** Notes that a job failed on a worker, before the worker is added to those on which it failed. */
    static void failed(Task task, Worker worker, Map<String, Worker> workers) {
        if (task.failedOn.isEmpty() || task.failedOn.equals(Set.of(worker.id()))) {
            worker.blamedFor.add(task.job().jobId());
            return;
        }
        for (String other : task.failedOn) {
            Worker blamed = workers.get(other);
            if (blamed != null) {
                blamed.blamedFor.remove(task.job().jobId());
            }
        }
    }

    /** Notes that a job completed on a worker. */
    static void completed(Task task, Worker worker, Map<String, Worker> workers, CommitmentBook book) {
        worker.blamedFor.clear();
        worker.quarantines = 0;
        for (String other : task.failedOn) {
            Worker blamed = workers.get(other);
            if (blamed != null && blamed != worker) {
                blamed.blamedFor.add(task.job().jobId());
                book.touch(blamed);
            }
        }
    }

    /** Clears the jobs that failed on a worker that is now quarantined. */
    static void quarantined(Worker worker, Map<String, Task> tasks) {
        for (String jobId : worker.blamedFor) {
            Task task = tasks.get(jobId);
            if (task != null) {
                task.failedOn.remove(worker.id());
            }
        }
        worker.blamedFor.clear();
    }
}
