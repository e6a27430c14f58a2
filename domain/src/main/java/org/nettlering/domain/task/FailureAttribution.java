package org.nettlering.domain.task;

import java.util.Map;
import java.util.Set;

/**
 * Decides whether a failure is held against the worker or against the job, by comparison.
 *
 * <p>A failure is held against the worker at first. When the job fails on another worker too, the job is at fault and the
 * workers are cleared; when it completes elsewhere, the fault of the workers is proved.
 */
final class FailureAttribution {
    private FailureAttribution() {}

    /** Notes that a job failed on a worker, before the worker is added to those on which it failed. */
    static void recordFailure(Task task, Worker worker, Map<String, Worker> workers) {
        if (task.failedWorkerIds.isEmpty() || task.failedWorkerIds.equals(Set.of(worker.id()))) {
            worker.attributedFailures.add(task.job().jobId());
            return;
        }
        for (String otherWorkerId : task.failedWorkerIds) {
            Worker otherWorker = workers.get(otherWorkerId);
            if (otherWorker != null) {
                otherWorker.attributedFailures.remove(task.job().jobId());
            }
        }
    }

    /** Notes that a job completed on a worker. */
    static void recordCompletion(Task task, Worker worker, Map<String, Worker> workers, AllocationTable allocations) {
        worker.attributedFailures.clear();
        worker.quarantines = 0;
        for (String otherWorkerId : task.failedWorkerIds) {
            Worker otherWorker = workers.get(otherWorkerId);
            if (otherWorker != null && otherWorker != worker) {
                otherWorker.attributedFailures.add(task.job().jobId());
                allocations.markChanged(otherWorker);
            }
        }
    }

    /** Clears the jobs that failed on a worker that is now quarantined. */
    static void clearFailures(Worker worker, Map<String, Task> tasks) {
        for (String jobId : worker.attributedFailures) {
            Task task = tasks.get(jobId);
            if (task != null) {
                task.failedWorkerIds.remove(worker.id());
            }
        }
        worker.attributedFailures.clear();
    }
}
