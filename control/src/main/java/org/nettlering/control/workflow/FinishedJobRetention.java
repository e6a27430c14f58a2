package org.nettlering.control.workflow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.domain.workflow.Job;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.RemoveJob;
import org.nettlering.domain.workflow.WorkflowState;

/**
 * Selects the finished jobs whose retention time has passed, counted from when the leader of this term first saw them
 * finished.
 *
 * <p>Not thread-safe: belongs to a {@link WorkflowLeadership}.
 */
final class FinishedJobRetention {
    /** How long a finished job can be queried. */
    static final Duration RETENTION = Duration.ofMinutes(5);

    private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(5);

    /** The monotonic time at which each job was first seen finished, by job id. */
    private final Map<String, Long> finishedNanos = new HashMap<>();

    private long nextSweepNanos;

    FinishedJobRetention(long nowNanos) {
        nextSweepNanos = nowNanos;
    }

    /** Returns the commands that remove jobs past their retention time; empty until the next sweep is due. */
    List<WorkflowCommand> removalsDue(WorkflowState state, long nowNanos) {
        List<WorkflowCommand> commands = new ArrayList<>();
        if (nowNanos - nextSweepNanos < 0) {
            return commands;
        }
        nextSweepNanos = nowNanos + SWEEP_INTERVAL.toNanos();
        for (Job job : state.jobs()) {
            if (job.phase().isOpen()) {
                continue;
            }
            long firstSeenNanos = finishedNanos.computeIfAbsent(job.id(), id -> nowNanos);
            if (nowNanos - firstSeenNanos > RETENTION.toNanos()) {
                commands.add(new RemoveJob(job.id()));
            }
        }
        finishedNanos.keySet().removeIf(id -> state.job(id).isEmpty());
        return commands;
    }
}
