package org.nettlering.domain.workflow.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.HostAllocations;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.PlacementConstraints;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepId;
import org.nettlering.domain.workflow.StepServiceLevel;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.TaskId;
import org.nettlering.domain.workflow.colocation.ColocationController;
import org.nettlering.domain.workflow.colocation.LatencyCriticalRun;
import org.nettlering.domain.workflow.host.HostHeartbeat;

/** Compares {@link HostRanking} with a separate {@link HostSelector#select} call for each task. */
class HostRankingTest {
    private static final int SEEDS = 200;
    private static final int HOSTS = 40;
    private static final int TASKS = 30;

    @Test
    void rankingSelectsSameHostsAsSelectorForEachTask() {
        for (int seed = 0; seed < SEEDS; seed++) {
            StepSpecification step = randomStep(new Random(seed + 1_000), TASKS);
            StepId stepId = new StepId("job", 0, 0);
            String rack = seed % 2 == 0 ? "" : "rack-1";
            assertThat(hostsByRanking(seed, stepId, step, rack))
                    .as("seed %d", seed)
                    .isEqualTo(hostsBySelector(seed, stepId, step, rack));
        }
    }

    @Test
    void eachHostIsCheckedOnceAndAgainOnlyAfterAnAllocation() {
        HostSelector selector = new HostSelector(ColocationController.create());
        List<FreeCapacity> capacities = randomCapacities(new Random(1), selector);
        StepSpecification step = new StepSpecification(
                TASKS,
                Resources.of(1, 1, 0),
                1_000,
                List.of(),
                Set.of(),
                PlacementConstraints.NONE,
                StepServiceLevel.UNSPECIFIED);
        HostRanking ranking =
                new HostRanking(selector, new StepId("job", 0, 0), step, "", PoolCapacities.of(capacities));
        for (int task = 0; task < TASKS; task++) {
            assertThat(ranking.allocateBest()).isPresent();
        }
        assertThat(selector.feasibilityChecks()).isLessThanOrEqualTo(HOSTS + TASKS);
    }

    @Test
    void rankingWithoutAHostSelectsAmongTheOthers() {
        HostSelector selector = new HostSelector(ColocationController.create());
        List<FreeCapacity> capacities = randomCapacities(new Random(3), selector);
        StepSpecification step = randomStep(new Random(4), 1);
        StepId stepId = new StepId("job", 0, 0);
        PoolCapacities pool = PoolCapacities.of(capacities);
        FreeCapacity best =
                new HostRanking(selector, stepId, step, "", pool).best().orElseThrow();
        List<FreeCapacity> others =
                capacities.stream().filter(capacity -> capacity != best).toList();
        assertThat(HostRanking.withoutHost(best.host(), selector, stepId, step, "", pool)
                        .best())
                .isEqualTo(selector.select(stepId, step, "", others));
    }

    private static List<String> hostsByRanking(int seed, StepId stepId, StepSpecification step, String rack) {
        HostSelector selector = new HostSelector(ColocationController.create());
        List<FreeCapacity> capacities = randomCapacities(new Random(seed), selector);
        HostRanking ranking = new HostRanking(selector, stepId, step, rack, PoolCapacities.of(capacities));
        List<String> hosts = new ArrayList<>();
        for (int task = 0; task < TASKS; task++) {
            ranking.allocateBest()
                    .ifPresent(capacity -> hosts.add(capacity.host().id()));
        }
        return hosts;
    }

    private static List<String> hostsBySelector(int seed, StepId stepId, StepSpecification step, String rack) {
        HostSelector selector = new HostSelector(ColocationController.create());
        List<FreeCapacity> capacities = randomCapacities(new Random(seed), selector);
        List<String> hosts = new ArrayList<>();
        for (int task = 0; task < TASKS; task++) {
            Optional<FreeCapacity> capacity = selector.select(stepId, step, rack, capacities);
            if (capacity.isEmpty()) {
                break;
            }
            selector.allocate(stepId, step, capacity.get());
            hosts.add(capacity.get().host().id());
        }
        return hosts;
    }

    private static List<FreeCapacity> randomCapacities(Random random, HostSelector selector) {
        List<FreeCapacity> capacities = new ArrayList<>();
        for (int number = 0; number < HOSTS; number++) {
            FreeCapacity capacity = randomCapacity(random, number);
            for (int task = random.nextInt(4); task > 0; task--) {
                StepSpecification step = randomStep(random, 1);
                StepId stepId = new StepId("before-" + task, 0, 0);
                if (capacity.fits(stepId, step)) {
                    selector.allocate(stepId, step, capacity);
                }
            }
            capacities.add(capacity);
        }
        return capacities;
    }

    private static FreeCapacity randomCapacity(Random random, int number) {
        HostIncarnation host = new HostIncarnation("host-" + number, "10.0.0." + number + ":80");
        Resources capacity = Resources.of(8_000L * (1 + random.nextInt(3)), 64_000, 0);
        HostHeartbeat heartbeat =
                new HostHeartbeat(host, "pool", "fd", capacity, "a", "rack-" + number % 4, false, 0, 1);
        List<LatencyCriticalRun> latencyCritical = new ArrayList<>();
        for (int run = random.nextInt(3); run > 0; run--) {
            RunId runId = new RunId(new TaskId(new StepId("serving-" + number, 0, run), 0), 1);
            latencyCritical.add(
                    new LatencyCriticalRun(runId, "serve-" + random.nextInt(3), 45, 10 + random.nextInt(40)));
        }
        return FreeCapacity.of(
                heartbeat,
                HostAllocations.empty(host),
                random.nextInt(10) == 0 ? 1 : 0,
                latencyCritical,
                StartAdmission.ALL);
    }

    /** Returns a best-effort step, a latency-critical step or one that is neither. */
    private static StepSpecification randomStep(Random random, int count) {
        int kind = random.nextInt(3);
        Resources demand = Resources.of(500 + random.nextInt(4_000), 500 + random.nextInt(8_000), 0);
        Set<StepTrait> traits = kind == 0 ? Set.of(StepTrait.BEST_EFFORT) : Set.of();
        StepServiceLevel serviceLevel = kind == 1
                ? new StepServiceLevel("serve-" + random.nextInt(3), 45, 1)
                : new StepServiceLevel("fill-" + random.nextInt(3), 0, -1);
        PlacementConstraints constraints = new PlacementConstraints("", "", random.nextInt(3));
        return new StepSpecification(count, demand, 1_000, List.of(), traits, constraints, serviceLevel);
    }
}
