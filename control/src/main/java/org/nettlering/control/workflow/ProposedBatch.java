package org.nettlering.control.workflow;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.nettlering.domain.workflow.WorkflowCommand;

/**
 * The batch that one leadership proposed to the log and whose outcome it awaits.
 *
 * <p>At most one is awaited, and none without bound. Not thread-safe.
 */
final class ProposedBatch {
    /**
     * How long after its proposal a batch without an outcome no longer keeps others from being proposed. A log that can
     * commit does so, or loses its leader, in far less.
     */
    private static final Duration DEADLINE = Duration.ofSeconds(10);

    /** Empty if none is awaited. */
    private List<WorkflowCommand> commands = List.of();

    private long proposedNanos;

    ProposedBatch() {}

    List<WorkflowCommand> commands() {
        return commands;
    }

    boolean isAwaited() {
        return !commands.isEmpty();
    }

    /** Returns whether the batch has had no outcome for too long; it may still commit. */
    boolean isOverdue(long nowNanos) {
        return isAwaited() && nowNanos - proposedNanos >= DEADLINE.toNanos();
    }

    long ageMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - proposedNanos);
    }

    /** Awaits the outcome of a batch; returns a copy of it. */
    List<WorkflowCommand> propose(List<WorkflowCommand> batch, long nowNanos) {
        commands = List.copyOf(batch);
        proposedNanos = nowNanos;
        return commands;
    }

    /** Awaits nothing more, unless the batch that finished was overdue and another one is awaited already. */
    void finished(List<WorkflowCommand> batch) {
        if (batch.equals(commands)) {
            commands = List.of();
        }
    }
}
