package org.nettlering.domain.placement;

import java.util.ArrayList;
import java.util.List;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskState;

/** What one call of the planner works on. Not thread-safe. */
final class PlanningRound {
    /** The replicated state. */
    final TaskState state;

    /** The configuration in force. */
    final SiteConfiguration configuration;

    /** The leader's wall clock. */
    final long nowMillis;

    /** What was decided so far. */
    final List<TaskCommand> commands = new ArrayList<>();

    /** The committed draw, with the decisions of this round. */
    long allocatedMilliwatts;

    /** Whether this round already asked running tasks to draw less. */
    boolean isPowerReductionRequested;

    /** The idle draw of all workers. */
    final long idleMilliwatts;

    PlanningRound(TaskState state, SiteConfiguration configuration, long nowMillis) {
        this.state = state;
        this.configuration = configuration;
        this.nowMillis = nowMillis;
        this.allocatedMilliwatts = state.allocatedMilliwatts();
        this.idleMilliwatts = state.idleMilliwatts();
    }

    long powerCapMilliwatts() {
        return configuration.powerCapMilliwatts();
    }

    /** Returns what the cap leaves for tasks. */
    long taskBudgetMilliwatts() {
        return Math.max(0, powerCapMilliwatts() - idleMilliwatts);
    }
}
