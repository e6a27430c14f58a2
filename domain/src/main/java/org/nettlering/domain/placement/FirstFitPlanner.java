package org.nettlering.domain.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.task.JobSpecification;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskState;
import org.nettlering.domain.task.Worker;
import org.nettlering.domain.worker.WorkerReport;

/**
 * Places jobs in order of submission, each on the first worker with enough free capacity for its declared request.
 *
 * <p>Serves as the baseline that other planners are compared with.
 */
public final class FirstFitPlanner implements Planner {
    private static final int MAX_STARTS_PER_ROUND = 512;

    /**
     * Returns a new planner.
     *
     * @return the planner, never null
     */
    public static FirstFitPlanner create() {
        return new FirstFitPlanner();
    }

    private FirstFitPlanner() {}

    @Override
    public List<TaskCommand> plan(TaskState state, SiteConfiguration configuration, long nowMillis) {
        state.drainChangedTasks();
        state.drainChangedWorkers();
        List<TaskCommand> commands = new ArrayList<>();
        Map<Worker, Resources> free = new HashMap<>();
        long allocatedMilliwatts = state.allocatedMilliwatts();
        for (Task task : state.tasks()) {
            if (!task.phase().isSchedulable() || commands.size() == MAX_STARTS_PER_ROUND) {
                continue;
            }
            JobSpecification job = task.job();
            if (allocatedMilliwatts + job.powerMilliwatts() > configuration.powerCapMilliwatts()) {
                continue;
            }
            for (Worker worker : state.workers()) {
                Resources remaining = free.getOrDefault(worker, worker.free());
                if (worker.isLive() && job.declaredResources().fitsIn(remaining)) {
                    free.put(worker, remaining.minus(job.declaredResources()));
                    allocatedMilliwatts += job.powerMilliwatts();
                    commands.add(start(job, worker, nowMillis));
                    break;
                }
            }
        }
        return commands;
    }

    @Override
    public void observe(TaskState state, WorkerReport report, long nowMillis) {
        // Uses declared requests only.
    }

    private static TaskCommand start(JobSpecification job, Worker worker, long nowMillis) {
        return new TaskCommand.Start(
                nowMillis,
                job.jobId(),
                worker.id(),
                job.declaredResources(),
                job.powerMilliwatts(),
                Task.FULL_SPEED_PERCENT,
                "first fit",
                "free " + worker.free());
    }
}
