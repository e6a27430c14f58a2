package org.nettlering.domain.placement;

import java.util.List;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskState;
import org.nettlering.domain.worker.WorkerReport;

/**
 * Decides what to do next.
 *
 * <p>A planner may keep soft state between calls; it is created anew with each leadership. Not thread-safe.
 */
public interface Planner {
    /**
     * Decides on the next commands.
     *
     * @param state the replicated state; the planner does not change it, not null
     * @param configuration the configuration in force, not null
     * @param nowMillis the leader's wall clock, in milliseconds since the epoch
     * @return the commands to propose, in order, never null
     */
    List<TaskCommand> plan(TaskState state, SiteConfiguration configuration, long nowMillis);

    /**
     * Takes in what a worker measured.
     *
     * @param state the replicated state, not null
     * @param report the report; the times of its measurements lie in the past, not null
     * @param nowMillis the leader's wall clock when it was received
     */
    void observe(TaskState state, WorkerReport report, long nowMillis);
}
