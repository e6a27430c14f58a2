package org.nettlering.domain.placement;

import java.util.List;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskState;
import org.nettlering.domain.worker.WorkerReport;

/**
 * Chooses the next commands for the replicated tasks.
 *
 * <p>A planner may hold soft state between calls. Each new leader creates its own planner. Not thread-safe.
 */
public interface Planner {
    /**
     * Returns the next commands.
     *
     * @param state the replicated state, which the planner does not modify, not null
     * @param configuration the configuration in force, not null
     * @param nowMillis the leader's wall clock, in milliseconds since the epoch
     * @return the commands to propose, in order, never null
     */
    List<TaskCommand> plan(TaskState state, SiteConfiguration configuration, long nowMillis);

    /**
     * Processes the measurements of a worker report.
     *
     * @param state the replicated state, not null
     * @param report the report; its measurements were taken before it was received, not null
     * @param nowMillis the leader's wall clock when it was received, in milliseconds since the epoch
     */
    void observe(TaskState state, WorkerReport report, long nowMillis);
}
