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
 * Which jobs ended so long ago, as the leader of one term saw it, that they may be forgotten.
 *
 * <p>Not thread-safe: belongs to a {@link WorkflowLeadership}.
 */
final class FinishedJobRetention {
    /** How long a job that has ended can be asked for. */
    private static final Duration RETENTION = Duration.ofMinutes(5);

    /** How often jobs that ended long ago are looked for. */
    private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(5);

    /** When each job was first seen to have ended, by the monotonic clock. */
    private final Map<String, Long> finishedNanos = new HashMap<>();

    /** When jobs that ended long ago are looked for next, by the monotonic clock. */
    private long nextSweepNanos;

    FinishedJobRetention(long nowNanos) {
        nextSweepNanos = nowNanos;
    }

    /** Returns what has the jobs forgotten that ended long ago; empty until it is time to look for them again. */
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
