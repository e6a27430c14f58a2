package org.nettlering.domain.workflow.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.job;
import static org.nettlering.domain.workflow.WorkflowSamples.run;
import static org.nettlering.domain.workflow.WorkflowSamples.step;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostAllocations;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.PlacementConstraints;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepServiceLevel;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.domain.workflow.sharing.FillingRun;
import org.nettlering.domain.workflow.sharing.ServingRun;
import org.nettlering.domain.workflow.sharing.SharingGuard;

class StartPlannerTest {
    private final WorkflowState state = WorkflowState.empty();

    private final List<HostRoom> rooms = new ArrayList<>();

    @Test
    void noHostIsFilledBeyondItsCapacity() {
        host("h1", "r1", 3_000, 0);
        host("h2", "r1", 2_500, 0);
        state.apply(job("a", step(10, List.of())));
        assertThat(startsByHost()).containsOnly(Map.entry("h1", 3L), Map.entry("h2", 2L));
    }

    @Test
    void memoryBoundsAHostAsProcessorsDo() {
        rooms.add(room("h1", "r1", Resources.of(32_000, 250, 0), 0, List.of()));
        state.apply(job("a", step(10, List.of())));
        assertThat(plan()).hasSize(2);
    }

    @Test
    void aGangStartsAsAWholeOrNotAtAll() {
        host("h1", "r1", 3_000, 0);
        state.apply(job("a", step(4, List.of(), StepTrait.GANG)));
        state.apply(job("b", step(3, List.of(), StepTrait.GANG)));
        assertThat(plan())
                .hasSize(3)
                .allSatisfy(
                        start -> assertThat(start.run().run().task().jobId()).isEqualTo("b"));
    }

    @Test
    void theMembersOfAGangShareTheNumberOfTheirRun() {
        host("h1", "r1", 8_000, 0);
        state.apply(job("a", step(4, List.of(), StepTrait.GANG)));
        assertThat(plan().stream().map(start -> start.run().run().number()).distinct())
                .containsExactly(1);
    }

    @Test
    void aHostThatFailedLastComesAfterSoundOnes() {
        host("bad", "r1", 32_000, 1);
        host("good", "r1", 4_000, 0);
        state.apply(job("a", step(3, List.of())));
        assertThat(startsByHost()).containsOnlyKeys("good");
    }

    @Test
    void noMoreTasksOfAStepThanAllowedShareAHost() {
        host("h1", "r1", 32_000, 0);
        host("h2", "r1", 32_000, 0);
        state.apply(job("a", located(6, new PlacementConstraints("", "", 2))));
        assertThat(startsByHost()).containsOnly(Map.entry("h1", 2L), Map.entry("h2", 2L));
    }

    @Test
    void aRequiredLabelIsKeptTo() {
        host("h1", "r1", 32_000, 0);
        state.apply(job("a", located(1, new PlacementConstraints("", "r9", 0))));
        assertThat(plan()).isEmpty();
    }

    @Test
    void tasksGoToTheRackOfTheirDataFirst() {
        host("h1", "r1", 32_000, 0);
        host("h2", "r2", 32_000, 0);
        state.apply(job("a", located(3, new PlacementConstraints("r2", "", 0))));
        assertThat(startsByHost()).containsOnlyKeys("h2");
    }

    @Test
    void tasksThatBelongTogetherGoToOneRackThatHoldsAllOfThem() {
        host("h1", "r1", 3_000, 0);
        host("h2", "r2", 2_000, 0);
        host("h3", "r2", 2_000, 0);
        state.apply(job("a", step(4, List.of(), StepTrait.RACK_LOCAL)));
        assertThat(startsByHost()).containsOnlyKeys("h2", "h3");
    }

    @Test
    void tasksThatFillGoWhereNobodyIsServed() {
        rooms.add(room(
                "busy",
                "r1",
                Resources.of(32_000, 64_000, 0),
                0,
                List.of(new ServingRun(run("served", 0, 0, 1), "s", 20, 5))));
        host("idle", "r1", 8_000, 0);
        state.apply(job("a", step(3, List.of(), StepTrait.BEST_EFFORT)));
        assertThat(startsByHost()).containsOnlyKeys("idle");
    }

    @Test
    void tasksThatFillStayAwayFromAServiceThatIsNearItsTarget() {
        rooms.add(room(
                "busy",
                "r1",
                Resources.of(32_000, 64_000, 0),
                0,
                List.of(new ServingRun(run("served", 0, 0, 1), "s", 20, 19))));
        state.apply(job("a", step(3, List.of(), StepTrait.BEST_EFFORT)));
        assertThat(plan()).isEmpty();
    }

    @Test
    void tasksThatServeShareHostsWithTheirOwnImage() {
        host("h1", "r1", 4_000, 0);
        host("h2", "r1", 4_000, 0);
        host("h3", "r1", 4_000, 0);
        state.apply(job("a", serving(2, "first")));
        state.apply(job("b", serving(2, "second")));
        state.apply(job("c", serving(2, "first")));
        Map<String, Set<String>> jobsByHost = plan().stream()
                .collect(Collectors.groupingBy(
                        start -> start.run().host().id(),
                        Collectors.mapping(start -> start.run().run().task().jobId(), Collectors.toSet())));
        assertThat(jobsByHost.values()).containsExactlyInAnyOrder(Set.of("a", "c"), Set.of("b"));
    }

    @Test
    void tasksThatFillGoBesideTheServiceThatTheyDisturbLeast() {
        SharingGuard learned = learned();
        rooms.add(room("tender", "r1", Resources.of(32_000, 64_000, 0), 0, List.of(served("tender", 6))));
        rooms.add(room("robust", "r1", Resources.of(32_000, 64_000, 0), 0, List.of(served("robust", 6))));
        state.apply(job("a", filling(4)));
        assertThat(plan(learned, List.of()).starts())
                .hasSize(4)
                .allSatisfy(start -> assertThat(start.run().host().id()).isEqualTo("robust"));
    }

    @Test
    void aRunThatIsHeldBackIsMovedToAHostWhoseServiceBearsIt() {
        SharingGuard learned = learned();
        rooms.add(room("tender", "r1", Resources.of(32_000, 64_000, 0), 0, List.of(served("tender", 6))));
        rooms.add(room("robust", "r1", Resources.of(32_000, 64_000, 0), 0, List.of(served("robust", 6))));
        HeldBackRun heldBack = heldBack("tender");
        assertThat(plan(learned, List.of(heldBack)).moves()).containsExactly(heldBack.run());
    }

    @Test
    void aRunThatIsHeldBackStaysWhereNoOtherHostIsBetter() {
        SharingGuard learned = learned();
        rooms.add(room("tender", "r1", Resources.of(32_000, 64_000, 0), 0, List.of(served("tender", 6))));
        rooms.add(room("other", "r1", Resources.of(32_000, 64_000, 0), 0, List.of(served("tender", 6))));
        assertThat(plan(learned, List.of(heldBack("tender"))).moves()).isEmpty();
    }

    /** A run that fills and is slowed down on a host. */
    private HeldBackRun heldBack(String hostId) {
        state.apply(job("slow", filling(1)));
        HostIncarnation host = new HostIncarnation(hostId, "10.0.0.1:80");
        ActiveRun run = new ActiveRun(run("slow", 0, 0, 1), host, "");
        state.apply(new StartRun(run));
        return new HeldBackRun(run, state.step(run.run().task().step()).orElseThrow());
    }

    /** What is learned where one service is disturbed by what fills and another one is not. */
    private static SharingGuard learned() {
        SharingGuard guard = SharingGuard.create();
        RunId run = run("filling", 0, 0, 1);
        for (int look = 0; look < 100; look++) {
            long nowNanos = Duration.ofMillis(500L * look).toNanos();
            boolean beside = look % 4 < 2;
            List<FillingRun> filling = beside ? List.of(new FillingRun(run, "filling", 4_000, 4_000, 100)) : List.of();
            guard.paces("tender", List.of(served("tender", beside ? 9 : 6)), filling, nowNanos);
            guard.paces("robust", List.of(served("robust", 6)), filling, nowNanos);
        }
        return guard;
    }

    private static ServingRun served(String image, long tailMillis) {
        return new ServingRun(run(image, 0, 0, 1), image, 20, tailMillis);
    }

    private static StepSpecification serving(int count, String image) {
        return new StepSpecification(
                count,
                Resources.of(1_000, 100, 0),
                1_000,
                List.of(),
                Set.of(StepTrait.LONG_RUNNING),
                PlacementConstraints.NONE,
                new StepServiceLevel(image, 20, 0));
    }

    private static StepSpecification filling(int count) {
        return new StepSpecification(
                count,
                Resources.of(4_000, 100, 0),
                1_000,
                List.of(),
                Set.of(StepTrait.BEST_EFFORT),
                PlacementConstraints.NONE,
                new StepServiceLevel("filling", 0, -1));
    }

    @Test
    void theJobWithLeastWorkComesFirstWhenThereIsNotRoomForAll() {
        host("h1", "r1", 2_000, 0);
        state.apply(job("long", step(8, List.of())));
        state.apply(job("short", step(2, List.of())));
        assertThat(plan())
                .allSatisfy(
                        start -> assertThat(start.run().run().task().jobId()).isEqualTo("short"));
    }

    private static StepSpecification located(int count, PlacementConstraints locality) {
        return new StepSpecification(
                count, Resources.of(1_000, 100, 0), 1_000, List.of(), Set.of(), locality, StepServiceLevel.UNSPECIFIED);
    }

    private void host(String id, String rack, long millicores, int doubt) {
        rooms.add(room(id, rack, Resources.of(millicores, 128_000, 0), doubt, List.of()));
    }

    private static HostRoom room(String id, String rack, Resources capacity, int doubt, List<ServingRun> serving) {
        HostIncarnation address = new HostIncarnation(id, "10.0.0.1:80");
        HostHeartbeat report = new HostHeartbeat(address, "pool", "fd", capacity, "a", rack, false, 0, 1);
        return HostRoom.of(report, HostAllocations.empty(address), doubt, serving);
    }

    private List<StartRun> plan() {
        return plan(SharingGuard.create(), List.of()).starts();
    }

    private StartPlan plan(SharingGuard sharing, List<HeldBackRun> heldBack) {
        return StartPlanner.plan(state, rooms, step -> true, sharing, heldBack, 0);
    }

    private Map<String, Long> startsByHost() {
        return plan().stream()
                .collect(Collectors.groupingBy(start -> start.run().host().id(), Collectors.counting()));
    }
}
