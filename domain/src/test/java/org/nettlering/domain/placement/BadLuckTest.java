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

class BadLuckTest {
    private final SmallSite site = new SmallSite(ScoredPlanner.create(), Jobs.configuration(1, Jobs.CAP_MILLIWATTS));

    @Test
    void aWorkerThatFailsEverythingIsQuarantinedAndTheOthersFinishItsJobs() {
        addWorkers(4);
        site.failEverythingOn("worker-1");
        List<String> jobs = submit(12, "letters", 1_000);

        site.steps(6);
        jobs.forEach(site::complete);
        site.steps(2);

        assertThat(site.state().worker("worker-1").orElseThrow().quarantinedUntilMillis())
                .isGreaterThan(site.nowMillis());
        assertThat(jobs).allSatisfy(job -> assertThat(site.phase(job)).isEqualTo(TaskPhase.DONE));
    }

    @Test
    void aWorkerIsTriedAgainWithOneTaskAfterItsQuarantine() {
        addWorkers(4);
        site.failEverythingOn("worker-1");
        submit(12, "letters", 1_000);
        site.steps(6);

        site.steps(70);
        submit(30, "letters", 1_000);
        site.steps(3);

        assertThat(site.state().worker("worker-1").orElseThrow().quarantines()).isEqualTo(2);
    }

    @Test
    void aJobThatFailsEverywhereIsFailedAndNoWorkerIsBlamed() {
        addWorkers(4);
        site.failEverywhere("poison");
        site.submit(Jobs.job("poison", "letters", 1_000));

        site.steps(8);

        assertThat(site.phase("poison")).isEqualTo(TaskPhase.FAILED);
        assertThat(site.state().workers()).allSatisfy(worker -> {
            assertThat(worker.attributedFailures()).isEmpty();
            assertThat(worker.quarantines()).isZero();
        });
    }

    @Test
    void aWaveOfFailingJobsQuarantinesNoWorker() {
        addWorkers(4);
        for (int number = 0; number < 20; number++) {
            site.failEverywhere("poison-" + number);
            site.submit(Jobs.job("poison-" + number, "bulk", 1_000));
        }

        site.steps(20);

        assertThat(site.state().workers())
                .allSatisfy(worker -> assertThat(worker.quarantines()).isZero());
        assertThat(site.state().tasks())
                .filteredOn(task -> task.phase() == TaskPhase.FAILED)
                .hasSize(20);
    }

    @Test
    void aJobThatCanNeverRunIsNamedAndBlocksNobody() {
        addWorkers(2);
        site.submit(Jobs.job("impossible", "letters", 64_000));
        site.submit(Jobs.job("ordinary", "letters", 1_000));

        site.steps(2);

        assertThat(site.phase("impossible")).isEqualTo(TaskPhase.UNRUNNABLE);
        assertThat(site.task("impossible").decisions().getLast().rule()).contains("no worker offers that");
        assertThat(site.phase("ordinary")).isEqualTo(TaskPhase.RUNNING);
    }

    @Test
    void anUnrunnableJobRunsOnceALargeEnoughWorkerComes() {
        addWorkers(1);
        site.submit(Jobs.job("large", "letters", 20_000));
        site.steps(2);
        assertThat(site.phase("large")).isEqualTo(TaskPhase.UNRUNNABLE);

        site.addWorker("large-worker", "rack-9", Resources.of(32_000, 64_000, 0));
        site.steps(3);

        assertThat(site.phase("large")).isEqualTo(TaskPhase.RUNNING);
    }

    @Test
    void aJobThatFillsAWholeWorkerStaysRunnableWhenItsClassIsMeasuredAboveItsDeclaration() {
        addWorkers(2);
        site.submit(Jobs.job("whole-0", "letters", 8_000));
        site.steps(2);
        String workerId = site.task("whole-0").workerId();
        for (int sample = 0; sample < 40; sample++) {
            site.measure(workerId, List.of(new Usage("whole-0", 1, site.nowMillis(), 8_010, 7_000, 70_000, 0)));
            site.step();
        }

        site.submit(Jobs.job("whole-1", "letters", 8_000));
        site.steps(2);

        assertThat(site.phase("whole-1")).isEqualTo(TaskPhase.RUNNING);
    }

    @Test
    void aJobBeyondItsTeamsQuotaIsNamed() {
        site.configure(SiteConfiguration.of(
                2, Jobs.profiles(), List.of(), List.of(new Team("team", 2_000, 99_000, 0)), Jobs.CAP_MILLIWATTS));
        addWorkers(1);
        site.submit(Jobs.job("too-much", "letters", 4_000));

        site.steps(2);

        assertThat(site.phase("too-much")).isEqualTo(TaskPhase.UNRUNNABLE);
        assertThat(site.task("too-much").decisions().getLast().rule()).contains("quota of team \"team\"");
    }

    @Test
    void aBurstOfCancellationsFreesEverythingAndTouchesNothingElse() {
        addWorkers(4);
        List<String> jobs = submit(200, "bulk", 500);
        site.submit(Jobs.job("kept", "letters", 500));
        site.steps(2);

        jobs.forEach(site::cancel);
        jobs.forEach(site::cancel);
        site.steps(3);

        assertThat(jobs).allSatisfy(job -> assertThat(site.phase(job)).isEqualTo(TaskPhase.CANCELLED));
        assertThat(site.phase("kept")).isEqualTo(TaskPhase.RUNNING);
        assertThat(site.state().workers().stream()
                        .mapToLong(worker -> worker.allocated().millicores())
                        .sum())
                .isEqualTo(500);
    }

    @Test
    void theTasksOfALostRackResumeOnceElsewhere() {
        site.addWorker("worker-1", "rack-a", Jobs.WORKER);
        site.addWorker("worker-2", "rack-a", Jobs.WORKER);
        List<String> jobs = submit(8, "letters", 1_000);
        site.steps(2);
        site.addWorker("worker-3", "rack-b", Jobs.WORKER);

        site.lose("worker-1");
        site.lose("worker-2");
        site.steps(3);

        assertThat(jobs).allSatisfy(job -> {
            Task task = site.task(job);
            assertThat(task.phase()).isEqualTo(TaskPhase.RUNNING);
            assertThat(task.workerId()).isEqualTo("worker-3");
            assertThat(task.epoch()).isEqualTo(2);
            assertThat(site.timesRunning(job)).isEqualTo(1);
        });
    }

    @Test
    void theInstancesOfAServiceAreSpreadOverRacks() {
        for (int rack = 0; rack < 3; rack++) {
            site.addWorker("worker-" + rack + "a", "rack-" + rack, Jobs.WORKER);
            site.addWorker("worker-" + rack + "b", "rack-" + rack, Jobs.WORKER);
        }
        for (int number = 0; number < 3; number++) {
            site.submit(Jobs.service("instance-" + number, "portfolio", 2_000));
        }

        site.steps(2);

        assertThat(IntStream.range(0, 3)
                        .mapToObj(number ->
                                site.task("instance-" + number).workerId().charAt(7))
                        .distinct())
                .hasSize(3);
    }

    @Test
    void aSilentWorkerGetsNoNewTaskEvenBeforeItsLeaseEnds() {
        addWorkers(2);
        site.steps(1);
        site.silence("worker-1");
        site.steps(4);

        List<String> jobs = submit(12, "letters", 1_000);
        site.steps(2);

        assertThat(jobs)
                .noneSatisfy(job -> assertThat(site.task(job).workerId()).isEqualTo("worker-1"));
        assertThat(site.state().worker("worker-1").orElseThrow().isLive()).isTrue();
    }

    @Test
    void aWorkerThatComesBackWithAcceleratorsIsOfferedWithThem() {
        addWorkers(1);
        site.submit(Jobs.job("ordinary", "letters", 1_000));
        site.steps(2);
        site.offer("worker-1", Resources.of(8_000, 16_000, 2));
        site.submit(new JobSpecification(
                "accelerated", "team", "letters", "", "class", Resources.of(1_000, 1_000, 2), 10_000, 0, 0, false));

        site.steps(3);

        assertThat(site.phase("accelerated")).isEqualTo(TaskPhase.RUNNING);
        assertThat(site.phase("ordinary")).isEqualTo(TaskPhase.RUNNING);
    }

    @Test
    void everyDecisionOnAQuarantineIsExplained() {
        addWorkers(4);
        site.failEverythingOn("worker-1");
        submit(12, "letters", 1_000);
        site.steps(6);

        assertThat(site.decided())
                .filteredOn(TaskCommand.Quarantine.class::isInstance)
                .isNotEmpty()
                .allSatisfy(command -> assertThat(((TaskCommand.Quarantine) command).details())
                        .contains("failed here and not elsewhere"));
    }

    private void addWorkers(int count) {
        for (int number = 1; number <= count; number++) {
            site.addWorker("worker-" + number, "rack-" + number, Jobs.WORKER);
        }
    }

    private List<String> submit(int count, String profile, long millicores) {
        return IntStream.range(0, count)
                .mapToObj(number -> {
                    String jobId = profile + "-" + site.nowMillis() + "-" + number;
                    site.submit(Jobs.job(jobId, profile, millicores));
                    return jobId;
                })
                .toList();
    }
}
