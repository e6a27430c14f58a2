package org.nettlering.domain.workflow.placement;

import java.util.List;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;

/**
 * What a {@link StartPlanner} has decided.
 *
 * <p>Immutable and thread-safe.
 *
 * @param starts the starts in the order of their urgency, not null
 * @param migrations the runs to stop so that their tasks go on at better hosts, not null
 */
public record StartPlan(List<StartRun> starts, List<ActiveRun> migrations) {
    /** Copies the parts. */
    public StartPlan {
        starts = List.copyOf(starts);
        migrations = List.copyOf(migrations);
    }
}
