package org.nettlering.domain.task;

import java.util.Map;
import java.util.Set;

/**
 * Attributes task failures to the worker or to the job by comparing the results of the job on different workers.
 *
 * <ul>
 *   <li>The first failure of a job is attributed to the worker.
 *   <li>If the job also fails on another worker, its failures are attributed to the job and no longer to the workers.
 *   <li>If the job completes on another worker, its failures are attributed to the workers on which it failed.
 * </ul>
 */
final class FailureAttribution {
    private FailureAttribution() {}

    /** Records a failure; must be called before the worker is added to {@link Task#failedWorkerIds}. */
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

    /** Records a completion, which ends the probation of the worker and clears the failures attributed to it. */
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

    /** Removes the failures attributed to a newly quarantined worker, from the worker and from the jobs. */
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
