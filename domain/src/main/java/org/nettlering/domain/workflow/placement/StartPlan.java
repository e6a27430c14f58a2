package org.nettlering.domain.workflow.placement;

import java.util.List;
import java.util.Set;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;

/**
 * The starts and migrations that a {@link StartPlanner} has planned.
 *
 * <p>Immutable and thread-safe.
 *
 * @param starts the starts, most urgent first, not null
 * @param copies the starts of copies of straggling tasks, not null
 * @param migrations the runs to stop so that their tasks restart on other hosts, not null
 * @param drainMoves the runs to stop because their hosts are to be emptied, not null
 * @param throttledStarts those of the starts whose runs begin at the lowest speed, because they would harm
 *     latency-critical runs at full speed, not null
 */
public record StartPlan(
        List<StartRun> starts,
        List<StartRun> copies,
        List<ActiveRun> migrations,
        List<ActiveRun> drainMoves,
        Set<RunId> throttledStarts) {
    /** Copies the lists. */
    public StartPlan {
        starts = List.copyOf(starts);
        copies = List.copyOf(copies);
        migrations = List.copyOf(migrations);
        drainMoves = List.copyOf(drainMoves);
        throttledStarts = Set.copyOf(throttledStarts);
    }
}
