package org.nettlering.domain.workflow.placement;

import java.util.List;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;

/**
 * The starts and migrations that a {@link StartPlanner} has planned.
 *
 * <p>Immutable and thread-safe.
 *
 * @param starts the starts, most urgent first, not null
 * @param migrations the runs to stop so that their tasks restart on other hosts, not null
 */
public record StartPlan(List<StartRun> starts, List<ActiveRun> migrations) {
    /** Copies the lists. */
    public StartPlan {
        starts = List.copyOf(starts);
        migrations = List.copyOf(migrations);
    }
}
