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
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.domain.workflow.sharing.ServingRun;
import org.nettlering.domain.workflow.sharing.SharingGuard;

/** The ranking of hosts for the tasks of a step against a choice anew for each task. */
class HostRankingTest {
    private static final int SITES = 200;
    private static final int HOSTS = 40;
    private static final int TASKS = 30;

    @Test
    void theTasksOfAStepGoWhereAChoiceAnewForEachWouldPutThem() {
        for (int seed = 0; seed < SITES; seed++) {
            StepSpecification step = step(new Random(seed + 1_000), TASKS);
            StepId name = new StepId("job", 0, 0);
            String rack = seed % 2 == 0 ? "" : "rack-1";
            assertThat(ranked(seed, name, step, rack)).as("seed %d", seed).isEqualTo(chosen(seed, name, step, rack));
        }
    }

    @Test
    void eachHostIsExaminedOnceAndThenOnlyAfterItTookATask() {
        HostChoice choice = new HostChoice(SharingGuard.create());
        List<HostRoom> rooms = rooms(new Random(1), choice);
        StepSpecification step = new StepSpecification(
                TASKS,
                Resources.of(1, 1, 0),
                1_000,
                List.of(),
                Set.of(),
                PlacementConstraints.NONE,
                StepServiceLevel.UNSPECIFIED);
        HostRanking ranking = new HostRanking(choice, new StepId("job", 0, 0), step, "", rooms);
        for (int task = 0; task < TASKS; task++) {
            assertThat(ranking.takeBest()).isPresent();
        }
        assertThat(choice.examined()).isLessThanOrEqualTo(HOSTS + TASKS);
    }

    private static List<String> ranked(int seed, StepId name, StepSpecification step, String rack) {
        HostChoice choice = new HostChoice(SharingGuard.create());
        List<HostRoom> rooms = rooms(new Random(seed), choice);
        HostRanking ranking = new HostRanking(choice, name, step, rack, rooms);
        List<String> hosts = new ArrayList<>();
        for (int task = 0; task < TASKS; task++) {
            ranking.takeBest().ifPresent(room -> hosts.add(room.host().id()));
        }
        return hosts;
    }

    private static List<String> chosen(int seed, StepId name, StepSpecification step, String rack) {
        HostChoice choice = new HostChoice(SharingGuard.create());
        List<HostRoom> rooms = rooms(new Random(seed), choice);
        List<String> hosts = new ArrayList<>();
        for (int task = 0; task < TASKS; task++) {
            Optional<HostRoom> room = choice.choose(name, step, rack, rooms);
            if (room.isEmpty()) {
                break;
            }
            choice.take(name, step, room.get());
            hosts.add(room.get().host().id());
        }
        return hosts;
    }

    private static List<HostRoom> rooms(Random random, HostChoice choice) {
        List<HostRoom> rooms = new ArrayList<>();
        for (int number = 0; number < HOSTS; number++) {
            HostRoom room = room(random, number);
            for (int task = random.nextInt(4); task > 0; task--) {
                StepSpecification step = step(random, 1);
                StepId name = new StepId("before-" + task, 0, 0);
                if (room.fits(name, step)) {
                    choice.take(name, step, room);
                }
            }
            rooms.add(room);
        }
        return rooms;
    }

    private static HostRoom room(Random random, int number) {
        HostIncarnation host = new HostIncarnation("host-" + number, "10.0.0." + number + ":80");
        Resources capacity = Resources.of(8_000L * (1 + random.nextInt(3)), 64_000, 0);
        HostHeartbeat report = new HostHeartbeat(host, "pool", "fd", capacity, "a", "rack-" + number % 4, false, 0, 1);
        List<ServingRun> serving = new ArrayList<>();
        for (int run = random.nextInt(3); run > 0; run--) {
            RunId name = new RunId(new TaskId(new StepId("serving-" + number, 0, run), 0), 1);
            serving.add(new ServingRun(name, "serve-" + random.nextInt(3), 45, 10 + random.nextInt(40)));
        }
        return HostRoom.of(report, HostAllocations.empty(host), random.nextInt(10) == 0 ? 1 : 0, serving);
    }

    /** Makes a step that fills, serves or does neither. */
    private static StepSpecification step(Random random, int count) {
        int kind = random.nextInt(3);
        Resources demand = Resources.of(500 + random.nextInt(4_000), 500 + random.nextInt(8_000), 0);
        Set<StepTrait> traits = kind == 0 ? Set.of(StepTrait.BEST_EFFORT) : Set.of();
        StepServiceLevel sharing = kind == 1
                ? new StepServiceLevel("serve-" + random.nextInt(3), 45, 1)
                : new StepServiceLevel("fill-" + random.nextInt(3), 0, -1);
        PlacementConstraints locality = new PlacementConstraints("", "", random.nextInt(3));
        return new StepSpecification(count, demand, 1_000, List.of(), traits, locality, sharing);
    }
}
