package org.nettlering.domain.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.configuration.Team;
import org.nettlering.domain.task.JobSpecification;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskPhase;
import org.nettlering.domain.worker.WorkerReport.Usage;

class PlacementFaultsTest {
    private final PlacementSimulation simulation =
            new PlacementSimulation(ScoredPlanner.create(), TestJobs.configuration(1, TestJobs.POWER_CAP_MILLIWATTS));

    @Test
    void failingWorkerIsQuarantinedAndItsJobsCompleteElsewhere() {
        addWorkers(4);
        simulation.failAllTasksOn("worker-1");
        List<String> jobs = submit(12, "letters", 1_000);

        simulation.steps(6);
        jobs.forEach(simulation::complete);
        simulation.steps(2);

        assertThat(simulation.state().worker("worker-1").orElseThrow().quarantinedUntilMillis())
                .isGreaterThan(simulation.nowMillis());
        assertThat(jobs).allSatisfy(job -> assertThat(simulation.phase(job)).isEqualTo(TaskPhase.DONE));
    }

    @Test
    void workerThatFailsOnProbationIsQuarantinedAgain() {
        addWorkers(4);
        simulation.failAllTasksOn("worker-1");
        submit(12, "letters", 1_000);
        simulation.steps(6);

        simulation.steps(70);
        submit(30, "letters", 1_000);
        simulation.steps(3);

        assertThat(simulation.state().worker("worker-1").orElseThrow().quarantines())
                .isEqualTo(2);
    }

    @Test
    void jobFailingOnAllWorkersIsNotAttributedToWorkers() {
        addWorkers(4);
        simulation.failJobEverywhere("poison");
        simulation.submit(TestJobs.job("poison", "letters", 1_000));

        simulation.steps(8);

        assertThat(simulation.phase("poison")).isEqualTo(TaskPhase.FAILED);
        assertThat(simulation.state().workers()).allSatisfy(worker -> {
            assertThat(worker.attributedFailures()).isEmpty();
            assertThat(worker.quarantines()).isZero();
        });
    }

    @Test
    void manyFailingJobsQuarantineNoWorker() {
        addWorkers(4);
        for (int index = 0; index < 20; index++) {
            simulation.failJobEverywhere("poison-" + index);
            simulation.submit(TestJobs.job("poison-" + index, "bulk", 1_000));
        }

        simulation.steps(20);

        assertThat(simulation.state().workers())
                .allSatisfy(worker -> assertThat(worker.quarantines()).isZero());
        assertThat(simulation.state().tasks())
                .filteredOn(task -> task.phase() == TaskPhase.FAILED)
                .hasSize(20);
    }

    @Test
    void infeasibleJobIsMarkedUnrunnableAndBlocksNoOtherJob() {
        addWorkers(2);
        simulation.submit(TestJobs.job("impossible", "letters", 64_000));
        simulation.submit(TestJobs.job("ordinary", "letters", 1_000));

        simulation.steps(2);

        assertThat(simulation.phase("impossible")).isEqualTo(TaskPhase.UNRUNNABLE);
        assertThat(simulation.task("impossible").decisions().getLast().rule()).contains("no worker offers that");
        assertThat(simulation.phase("ordinary")).isEqualTo(TaskPhase.RUNNING);
    }

    @Test
    void unrunnableJobStartsWhenLargeEnoughWorkerRegisters() {
        addWorkers(1);
        simulation.submit(TestJobs.job("large", "letters", 20_000));
        simulation.steps(2);
        assertThat(simulation.phase("large")).isEqualTo(TaskPhase.UNRUNNABLE);

        simulation.addWorker("large-worker", "rack-9", Resources.of(32_000, 64_000, 0));
        simulation.steps(3);

        assertThat(simulation.phase("large")).isEqualTo(TaskPhase.RUNNING);
    }

    @Test
    void wholeWorkerJobStaysRunnableWhenClassUsageExceedsDeclaration() {
        addWorkers(2);
        simulation.submit(TestJobs.job("whole-0", "letters", 8_000));
        simulation.steps(2);
        String workerId = simulation.task("whole-0").workerId();
        for (int sample = 0; sample < 40; sample++) {
            simulation.measure(
                    workerId, List.of(new Usage("whole-0", 1, simulation.nowMillis(), 8_010, 7_000, 70_000, 0)));
            simulation.step();
        }

        simulation.submit(TestJobs.job("whole-1", "letters", 8_000));
        simulation.steps(2);

        assertThat(simulation.phase("whole-1")).isEqualTo(TaskPhase.RUNNING);
    }

    @Test
    void jobLargerThanTeamQuotaIsMarkedUnrunnable() {
        simulation.configure(SiteConfiguration.of(
                2,
                TestJobs.profiles(),
                List.of(),
                List.of(new Team("team", 2_000, 99_000, 0)),
                TestJobs.POWER_CAP_MILLIWATTS));
        addWorkers(1);
        simulation.submit(TestJobs.job("too-much", "letters", 4_000));

        simulation.steps(2);

        assertThat(simulation.phase("too-much")).isEqualTo(TaskPhase.UNRUNNABLE);
        assertThat(simulation.task("too-much").decisions().getLast().rule()).contains("quota of team \"team\"");
    }

    @Test
    void massCancellationReleasesOnlyCancelledJobs() {
        addWorkers(4);
        List<String> jobs = submit(200, "bulk", 500);
        simulation.submit(TestJobs.job("kept", "letters", 500));
        simulation.steps(2);

        jobs.forEach(simulation::cancel);
        jobs.forEach(simulation::cancel);
        simulation.steps(3);

        assertThat(jobs).allSatisfy(job -> assertThat(simulation.phase(job)).isEqualTo(TaskPhase.CANCELLED));
        assertThat(simulation.phase("kept")).isEqualTo(TaskPhase.RUNNING);
        assertThat(simulation.state().workers().stream()
                        .mapToLong(worker -> worker.allocated().millicores())
                        .sum())
                .isEqualTo(500);
    }

    @Test
    void tasksOfLostRackRestartOnceOnOtherRack() {
        simulation.addWorker("worker-1", "rack-a", TestJobs.WORKER_CAPACITY);
        simulation.addWorker("worker-2", "rack-a", TestJobs.WORKER_CAPACITY);
        List<String> jobs = submit(8, "letters", 1_000);
        simulation.steps(2);
        simulation.addWorker("worker-3", "rack-b", TestJobs.WORKER_CAPACITY);

        simulation.loseWorker("worker-1");
        simulation.loseWorker("worker-2");
        simulation.steps(3);

        assertThat(jobs).allSatisfy(job -> {
            Task task = simulation.task(job);
            assertThat(task.phase()).isEqualTo(TaskPhase.RUNNING);
            assertThat(task.workerId()).isEqualTo("worker-3");
            assertThat(task.epoch()).isEqualTo(2);
            assertThat(simulation.runningCopies(job)).isEqualTo(1);
        });
    }

    @Test
    void serviceInstancesAreSpreadAcrossRacks() {
        for (int rack = 0; rack < 3; rack++) {
            simulation.addWorker("worker-" + rack + "a", "rack-" + rack, TestJobs.WORKER_CAPACITY);
            simulation.addWorker("worker-" + rack + "b", "rack-" + rack, TestJobs.WORKER_CAPACITY);
        }
        for (int index = 0; index < 3; index++) {
            simulation.submit(TestJobs.service("instance-" + index, "portfolio", 2_000));
        }

        simulation.steps(2);

        assertThat(IntStream.range(0, 3)
                        .mapToObj(index ->
                                simulation.task("instance-" + index).workerId().charAt(7))
                        .distinct())
                .hasSize(3);
    }

    @Test
    void unresponsiveWorkerGetsNoNewTaskBeforeLeaseExpires() {
        addWorkers(2);
        simulation.steps(1);
        simulation.partitionWorker("worker-1");
        simulation.steps(4);

        List<String> jobs = submit(12, "letters", 1_000);
        simulation.steps(2);

        assertThat(jobs)
                .noneSatisfy(job -> assertThat(simulation.task(job).workerId()).isEqualTo("worker-1"));
        assertThat(simulation.state().worker("worker-1").orElseThrow().isLive()).isTrue();
    }

    @Test
    void workerReregisteredWithAcceleratorsRunsAcceleratedJob() {
        addWorkers(1);
        simulation.submit(TestJobs.job("ordinary", "letters", 1_000));
        simulation.steps(2);
        simulation.setCapacity("worker-1", Resources.of(8_000, 16_000, 2));
        simulation.submit(new JobSpecification(
                "accelerated", "team", "letters", "", "class", Resources.of(1_000, 1_000, 2), 10_000, 0, 0, false));

        simulation.steps(3);

        assertThat(simulation.phase("accelerated")).isEqualTo(TaskPhase.RUNNING);
        assertThat(simulation.phase("ordinary")).isEqualTo(TaskPhase.RUNNING);
    }

    @Test
    void quarantineCommandsExplainTheirReason() {
        addWorkers(4);
        simulation.failAllTasksOn("worker-1");
        submit(12, "letters", 1_000);
        simulation.steps(6);

        assertThat(simulation.issuedCommands())
                .filteredOn(TaskCommand.Quarantine.class::isInstance)
                .isNotEmpty()
                .allSatisfy(command -> assertThat(((TaskCommand.Quarantine) command).details())
                        .contains("failed here and not elsewhere"));
    }

    private void addWorkers(int count) {
        for (int index = 1; index <= count; index++) {
            simulation.addWorker("worker-" + index, "rack-" + index, TestJobs.WORKER_CAPACITY);
        }
    }

    private List<String> submit(int count, String profile, long millicores) {
        return IntStream.range(0, count)
                .mapToObj(index -> {
                    String jobId = profile + "-" + simulation.nowMillis() + "-" + index;
                    simulation.submit(TestJobs.job(jobId, profile, millicores));
                    return jobId;
                })
                .toList();
    }
}
