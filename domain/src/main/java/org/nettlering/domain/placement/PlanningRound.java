package org.nettlering.domain.placement;

import java.util.ArrayList;
import java.util.List;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskState;

/** The input and the results of one call of the planner. Not thread-safe. */
final class PlanningRound {
    final TaskState state;

    final SiteConfiguration configuration;

    /** The leader's wall clock, in milliseconds since the epoch. */
    final long nowMillis;

    /** The commands decided so far. */
    final List<TaskCommand> commands = new ArrayList<>();

    /** The allocated power, including the decisions of this round. */
    long allocatedMilliwatts;

    /** Whether this round already reduced the draw of running tasks to meet the cap. */
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

    /** Returns the power that the cap leaves for tasks. */
    long taskBudgetMilliwatts() {
        return Math.max(0, powerCapMilliwatts() - idleMilliwatts);
    }
}
