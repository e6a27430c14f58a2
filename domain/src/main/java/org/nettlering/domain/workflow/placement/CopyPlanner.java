package org.nettlering.domain.workflow.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.TaskProgress;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.copy.StragglerPolicy;
import org.nettlering.domain.workflow.copy.StragglingRun;

/**
 * Plans copies of straggling tasks on hosts that have capacity after all other starts of the same plan.
 *
 * <p>A task has at most two runs. All copies together hold at most a small share of the processors. Not thread-safe.
 */
final class CopyPlanner {
    /** The limit for one plan. */
    private static final int MAX_COPIES = 4;

    /** The share of the processors that all copies may hold, one in so many. */
    private static final int CAPACITY_DIVISOR = 50;

    private final HostSelector selector;

    private final Function<String, PoolCapacities> pools;

    /** The processors that further copies may hold, in millicores. */
    private long availableMillicores;

    CopyPlanner(
            HostSelector selector,
            Collection<FreeCapacity> capacities,
            Function<String, PoolCapacities> pools,
            long copiedMillicores) {
        this.selector = selector;
        this.pools = pools;
        long total =
                capacities.stream().mapToLong(FreeCapacity::totalMillicores).sum();
        availableMillicores = total / CAPACITY_DIVISOR - copiedMillicores;
    }

    List<StartRun> plan(Collection<StragglingRun> stragglers) {
        List<StartRun> copies = new ArrayList<>();
        for (StragglingRun straggler : stragglers) {
            if (copies.size() < MAX_COPIES) {
                planCopy(straggler).ifPresent(copies::add);
            }
        }
        return copies;
    }

    private Optional<StartRun> planCopy(StragglingRun straggler) {
        StepProgress step = straggler.step();
        StepSpecification specification = step.specification();
        TaskProgress task = step.task(straggler.run().run().task().index());
        long millicores = specification.demand().millicores();
        boolean isOnlyRun = !task.isDone() && task.activeRuns().size() == 1;
        if (!isOnlyRun || millicores > availableMillicores || !StragglerPolicy.isWaitedFor(step)) {
            return Optional.empty();
        }
        PoolCapacities pool = pools.apply(step.job().terms().pool());
        HostRanking ranking = HostRanking.withoutHost(
                straggler.run().host(),
                selector,
                step.id(),
                specification,
                specification.placementConstraints().dataRack(),
                pool);
        if (ranking.best().filter(host -> host.consecutiveFailures() == 0).isEmpty()) {
            return Optional.empty();
        }
        availableMillicores -= millicores;
        return ranking.allocateBest().map(host -> copyOn(straggler, task, host));
    }

    private static StartRun copyOn(StragglingRun straggler, TaskProgress task, FreeCapacity host) {
        RunId run = new RunId(straggler.run().run().task(), task.lastRunNumber() + 1);
        return new StartRun(new ActiveRun(run, host.host(), task.checkpoint(), host.hostStartMillis()));
    }
}
