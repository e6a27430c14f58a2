package org.nettlering.domain.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.configuration.Interruption;
import org.nettlering.domain.configuration.Profile;
import org.nettlering.domain.configuration.ServiceDefinition;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.power.PowerForecast;
import org.nettlering.domain.task.JobSpecification;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskPhase;

class ProfilesAndPowerTest {
    private final PlacementSimulation simulation =
            new PlacementSimulation(ScoredPlanner.create(), TestJobs.configuration(1, 200_000));

    @BeforeEach
    void addWorkers() {
        for (int index = 1; index <= 4; index++) {
            simulation.addWorker("worker-" + index, "rack-" + index, TestJobs.WORKER_CAPACITY);
        }
    }

    @Test
    void jobExceedingPowerCapStaysPending() {
        simulation.configure(TestJobs.configuration(2, 50_000));
        for (int index = 0; index < 8; index++) {
            simulation.submit(TestJobs.job("letter-" + index, "letters", 1_000));
        }

        simulation.steps(3);

        assertThat(simulation.state().allocatedMilliwatts()).isLessThanOrEqualTo(50_000);
        assertThat(simulation.state().tasks())
                .filteredOn(task -> task.phase() == TaskPhase.RUNNING)
                .hasSize(4);
    }

    @Test
    void loweredCapThrottlesLeastUrgentTasksFirst() {
        startJobs("letter", "letters", 4);
        startJobs("bulk", "bulk", 4);

        simulation.configure(TestJobs.configuration(2, 65_000));
        simulation.steps(3);

        assertThat(simulation.state().allocatedMilliwatts()).isLessThanOrEqualTo(65_000);
        assertThat(simulation.task("letter-0").requestedSpeedPercent()).isEqualTo(100);
        assertThat(simulation.issuedCommands()).noneMatch(TaskCommand.Evict.class::isInstance);
    }

    @Test
    void tasksEvictedForCapResumeFromCheckpoint() {
        startJobs("bulk", "bulk", 4);

        simulation.configure(TestJobs.configuration(2, 5_000));
        simulation.steps(4);
        assertThat(simulation.state().allocatedMilliwatts()).isLessThanOrEqualTo(5_000);
        simulation.configure(TestJobs.configuration(3, 200_000));
        simulation.steps(4);

        assertThat(simulation.state().tasks()).allSatisfy(task -> {
            assertThat(task.phase()).isEqualTo(TaskPhase.RUNNING);
            assertThat(task.resumeCheckpoint()).isEqualTo(task.checkpoint());
        });
        assertThat(simulation.state().tasks())
                .anySatisfy(task -> assertThat(task.checkpoint()).isPositive());
    }

    @Test
    void uninterruptibleTaskIsUntouchedAndForecastShowsWhenCapIsMet() {
        simulation.submit(new JobSpecification(
                "steady", "team", "previews", "", "steady", TestJobs.WORKER_CAPACITY, 80_000, 60_000, 0, false));
        simulation.steps(2);
        long started = simulation.task("steady").startedMillis();

        simulation.configure(TestJobs.configuration(2, 50_000));
        simulation.steps(3);

        assertThat(simulation.task("steady").requestedSpeedPercent()).isEqualTo(100);
        assertThat(simulation.phase("steady")).isEqualTo(TaskPhase.RUNNING);
        PowerForecast forecast =
                PowerForecast.of(simulation.state(), simulation.configuration(), simulation.nowMillis());
        assertThat(forecast.isAboveCap()).isTrue();
        assertThat(forecast.expectedMetMillis())
                .isEqualTo(started + Duration.ofMinutes(1).toMillis());
        assertThat(forecast.explanation()).contains("steady");
    }

    @Test
    void raisedCapRestoresFullSpeed() {
        startJobs("bulk", "bulk", 4);
        simulation.configure(TestJobs.configuration(2, 25_000));
        simulation.steps(3);

        simulation.configure(TestJobs.configuration(3, 200_000));
        simulation.steps(20);

        assertThat(simulation.state().tasks())
                .allSatisfy(task -> assertThat(task.requestedSpeedPercent()).isEqualTo(100));
    }

    @Test
    void movingServiceToOtherProfileAffectsRunningTasks() {
        simulation.configure(withService(2, "bulk", 200_000));
        for (int index = 0; index < 4; index++) {
            simulation.submit(serviceJob("proof-" + index));
        }
        startJobs("letter", "letters", 4);

        simulation.configure(withService(3, "previews", 60_000));
        simulation.steps(3);

        assertThat(simulation.task("proof-0").requestedSpeedPercent()).isEqualTo(100);
        assertThat(simulation.task("letter-0").requestedSpeedPercent()).isLessThan(100);
    }

    @Test
    void editingProfileAffectsRunningTasks() {
        startJobs("letter", "letters", 4);
        startJobs("bulk", "bulk", 4);
        List<Profile> swapped = new ArrayList<>(TestJobs.profiles());
        swapped.removeIf(
                profile -> profile.name().equals("letters") || profile.name().equals("bulk"));
        swapped.add(new Profile("letters", 10, Interruption.EVICT, 20));
        swapped.add(new Profile("bulk", 50, Interruption.EVICT, 20));

        simulation.configure(SiteConfiguration.of(2, swapped, List.of(), List.of(), 65_000));
        simulation.steps(3);

        assertThat(simulation.task("bulk-0").requestedSpeedPercent()).isEqualTo(100);
        assertThat(simulation.task("letter-0").requestedSpeedPercent()).isLessThan(100);
    }

    @Test
    void uninterruptibleProfileStaysWithinPowerShare() {
        for (int index = 0; index < 12; index++) {
            simulation.submit(TestJobs.job("preview-" + index, "previews", 1_000));
        }

        simulation.steps(3);

        assertThat(simulation.state().tasks())
                .filteredOn(task -> task.phase() == TaskPhase.RUNNING)
                .hasSize(8);
    }

    @Test
    void interruptibleProfileExceedsPowerShareWhenNoOtherJobNeedsPower() {
        for (int index = 0; index < 16; index++) {
            simulation.submit(TestJobs.job("bulk-" + index, "bulk", 1_000));
        }

        simulation.steps(3);

        assertThat(simulation.state().tasks())
                .filteredOn(task -> task.phase() == TaskPhase.RUNNING)
                .hasSize(16);
    }

    @Test
    void urgentJobStartsWithinFourSecondsOnFullSite() {
        simulation.configure(TestJobs.configuration(2, TestJobs.POWER_CAP_MILLIWATTS));
        startJobs("bulk", "bulk", 32);

        simulation.submit(TestJobs.job("urgent", "urgent", 4_000));
        simulation.steps(4);

        assertThat(simulation.phase("urgent")).isEqualTo(TaskPhase.RUNNING);
        assertThat(simulation.state().tasks())
                .filteredOn(task -> task.evictions() > 0)
                .hasSize(4);
    }

    @Test
    void jobWithNearDeadlineStartsFirst() {
        simulation.configure(TestJobs.configuration(2, TestJobs.POWER_CAP_MILLIWATTS));
        startJobs("filler", "letters", 32);
        simulation.submit(TestJobs.job("later", "letters", 1_000));
        simulation.submit(TestJobs.job("due", "letters", "team", "class", 1_000, simulation.nowMillis() + 90_000));

        simulation.complete("filler-0");
        simulation.steps(3);

        assertThat(simulation.phase("due")).isEqualTo(TaskPhase.RUNNING);
        assertThat(simulation.phase("later")).isEqualTo(TaskPhase.PENDING);
    }

    @Test
    void jobOfTeamWithLowerUsageStartsFirst() {
        simulation.configure(TestJobs.configuration(2, TestJobs.POWER_CAP_MILLIWATTS));
        startJobs("greedy", "letters", 32);
        simulation.submit(TestJobs.job("more", "letters", "team", "class", 1_000, 0));
        simulation.submit(TestJobs.job("modest", "letters", "other-team", "class", 1_000, 0));

        simulation.complete("greedy-0");
        simulation.steps(3);

        assertThat(simulation.phase("modest")).isEqualTo(TaskPhase.RUNNING);
        assertThat(simulation.phase("more")).isEqualTo(TaskPhase.PENDING);
    }

    @Test
    void largeJobIsNotStarvedBySmallJobs() {
        simulation.configure(TestJobs.configuration(2, TestJobs.POWER_CAP_MILLIWATTS));
        startJobs("small", "letters", 32);
        simulation.submit(TestJobs.job("large", "letters", 8_000));
        int index = 32;

        for (int second = 0; second < 400 && simulation.phase("large") != TaskPhase.RUNNING; second++) {
            simulation.complete("small-" + (index - 32));
            simulation.submit(TestJobs.job("small-" + index++, "letters", 1_000));
            simulation.step();
        }

        assertThat(simulation.phase("large")).isEqualTo(TaskPhase.RUNNING);
    }

    private void startJobs(String name, String profile, int count) {
        for (int index = 0; index < count; index++) {
            simulation.submit(TestJobs.job(name + "-" + index, profile, 1_000));
        }
        simulation.steps(2);
    }

    private static JobSpecification serviceJob(String jobId) {
        JobSpecification job = TestJobs.job(jobId, "bulk", 1_000);
        return new JobSpecification(
                jobId,
                job.team(),
                job.profile(),
                "proofs",
                job.workClass(),
                job.declaredResources(),
                job.powerMilliwatts(),
                job.declaredRunTimeMillis(),
                0,
                false);
    }

    private static SiteConfiguration withService(long revision, String profile, long capMilliwatts) {
        return SiteConfiguration.of(
                revision,
                TestJobs.profiles(),
                List.of(new ServiceDefinition("proofs", profile, List.of(), Duration.ofSeconds(1), 0)),
                List.of(),
                capMilliwatts);
    }
}
