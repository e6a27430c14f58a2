package org.nettlering.domain.workflow.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.StepId;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.drain.DrainPolicy;
import org.nettlering.domain.workflow.drain.DrainingRun;

/**
 * Plans which runs on hosts that are to be emptied are stopped now, so that their tasks run on other hosts.
 *
 * <p>A run is stopped only if another host has capacity for it after all starts of the same plan. A long-running task is
 * stopped only while its step may miss one more; a task whose host does not show it at work counts as absent, so that the
 * new run of one task is at work before the next one is stopped. Not thread-safe.
 */
final class DrainPlanner {
    /** The limit for one plan, so that the starts that follow do not come all at once. */
    private static final int MAX_MOVES = 8;

    /** Includes the starts of the same plan. */
    private final HostSelector selector;

    private final Function<String, PoolCapacities> pools;

    private final Predicate<ActiveRun> atWork;

    /** The absent tasks of each step, including those that this plan stops. */
    private final Map<StepId, Integer> absentTasks = new HashMap<>();

    DrainPlanner(HostSelector selector, Function<String, PoolCapacities> pools, Predicate<ActiveRun> atWork) {
        this.selector = selector;
        this.pools = pools;
        this.atWork = atWork;
    }

    List<ActiveRun> plan(Collection<DrainingRun> draining) {
        List<ActiveRun> moves = new ArrayList<>();
        for (DrainingRun each : draining) {
            if (moves.size() < MAX_MOVES && planMove(each)) {
                moves.add(each.run());
            }
        }
        return moves;
    }

    private boolean planMove(DrainingRun draining) {
        StepProgress step = draining.step();
        boolean longRunning = step.specification().has(StepTrait.LONG_RUNNING);
        if (longRunning && !mayMiss(draining)) {
            return false;
        }
        HostRanking ranking = new HostRanking(
                selector,
                step.id(),
                step.specification(),
                step.specification().placementConstraints().dataRack(),
                pools.apply(step.job().terms().pool()));
        if (ranking.allocateBest().isEmpty()) {
            return false;
        }
        if (longRunning) {
            absentTasks.merge(step.id(), 1, Integer::sum);
        }
        return true;
    }

    private boolean mayMiss(DrainingRun draining) {
        StepProgress step = draining.step();
        int absent = absentTasks.computeIfAbsent(step.id(), id -> countAbsent(step));
        return atWork.test(draining.run())
                && DrainPolicy.mayMissOneMore(step.specification(), absent, draining.hostLeaves());
    }

    private int countAbsent(StepProgress step) {
        int absent = 0;
        for (int index = 0; index < step.specification().taskCount(); index++) {
            if (step.task(index).activeRuns().stream().noneMatch(atWork)) {
                absent++;
            }
        }
        return absent;
    }
}
