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
import org.nettlering.domain.power.PowerOutlook;
import org.nettlering.domain.task.JobSpecification;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskPhase;

class ProfilesAndPowerTest {
    private final SmallSite site = new SmallSite(ScoredPlanner.create(), Jobs.configuration(1, 200_000));

    @BeforeEach
    void addWorkers() {
        for (int number = 1; number <= 4; number++) {
            site.addWorker("worker-" + number, "rack-" + number, Jobs.WORKER);
        }
    }

    @Test
    void aJobThatWouldPassTheCapWaits() {
        site.configure(Jobs.configuration(2, 50_000));
        for (int number = 0; number < 8; number++) {
            site.submit(Jobs.job("letter-" + number, "letters", 1_000));
        }

        site.steps(3);

        assertThat(site.state().allocatedMilliwatts()).isLessThanOrEqualTo(50_000);
        assertThat(site.state().tasks())
                .filteredOn(task -> task.phase() == TaskPhase.RUNNING)
                .hasSize(4);
    }

    @Test
    void aLoweredCapIsMetByThrottlingTheLeastUrgentFirst() {
        run("letter", "letters", 4);
        run("bulk", "bulk", 4);

        site.configure(Jobs.configuration(2, 65_000));
        site.steps(3);

        assertThat(site.state().allocatedMilliwatts()).isLessThanOrEqualTo(65_000);
        assertThat(site.task("letter-0").requestedSpeedPercent()).isEqualTo(100);
        assertThat(site.decided()).noneMatch(TaskCommand.Evict.class::isInstance);
    }

    @Test
    void whatThrottlingCannotSaveIsEvictedAfterACheckpointAndResumesFromIt() {
        run("bulk", "bulk", 4);

        site.configure(Jobs.configuration(2, 5_000));
        site.steps(4);
        assertThat(site.state().allocatedMilliwatts()).isLessThanOrEqualTo(5_000);
        site.configure(Jobs.configuration(3, 200_000));
        site.steps(4);

        assertThat(site.state().tasks()).allSatisfy(task -> {
            assertThat(task.phase()).isEqualTo(TaskPhase.RUNNING);
            assertThat(task.resumeCheckpoint()).isEqualTo(task.checkpoint());
        });
        assertThat(site.state().tasks())
                .anySatisfy(task -> assertThat(task.checkpoint()).isPositive());
    }

    @Test
    void aTaskThatMayNotBeInterruptedIsLeftAloneAndTheCapSaysWhenItIsMet() {
        site.submit(new JobSpecification(
                "steady", "team", "previews", "", "steady", Jobs.WORKER, 80_000, 60_000, 0, false));
        site.steps(2);
        long started = site.task("steady").startedMillis();

        site.configure(Jobs.configuration(2, 50_000));
        site.steps(3);

        assertThat(site.task("steady").requestedSpeedPercent()).isEqualTo(100);
        assertThat(site.phase("steady")).isEqualTo(TaskPhase.RUNNING);
        PowerOutlook outlook = PowerOutlook.of(site.state(), site.configuration(), site.nowMillis());
        assertThat(outlook.isAboveCap()).isTrue();
        assertThat(outlook.expectedMetMillis())
                .isEqualTo(started + Duration.ofMinutes(1).toMillis());
        assertThat(outlook.explanation()).contains("steady");
    }

    @Test
    void throttledTasksGetTheirSpeedBackWhenTheCapIsRaised() {
        run("bulk", "bulk", 4);
        site.configure(Jobs.configuration(2, 25_000));
        site.steps(3);

        site.configure(Jobs.configuration(3, 200_000));
        site.steps(20);

        assertThat(site.state().tasks())
                .allSatisfy(task -> assertThat(task.requestedSpeedPercent()).isEqualTo(100));
    }

    @Test
    void movingAServiceToAnotherProfileTakesEffectOnWhatRuns() {
        site.configure(withService(2, "bulk", 200_000));
        for (int number = 0; number < 4; number++) {
            site.submit(serviceJob("proof-" + number));
        }
        run("letter", "letters", 4);

        site.configure(withService(3, "previews", 60_000));
        site.steps(3);

        assertThat(site.task("proof-0").requestedSpeedPercent()).isEqualTo(100);
        assertThat(site.task("letter-0").requestedSpeedPercent()).isLessThan(100);
    }

    @Test
    void editingAProfileTakesEffectOnWhatRuns() {
        run("letter", "letters", 4);
        run("bulk", "bulk", 4);
        List<Profile> swapped = new ArrayList<>(Jobs.profiles());
        swapped.removeIf(
                profile -> profile.name().equals("letters") || profile.name().equals("bulk"));
        swapped.add(new Profile("letters", 10, Interruption.EVICT, 20));
        swapped.add(new Profile("bulk", 50, Interruption.EVICT, 20));

        site.configure(SiteConfiguration.of(2, swapped, List.of(), List.of(), 65_000));
        site.steps(3);

        assertThat(site.task("bulk-0").requestedSpeedPercent()).isEqualTo(100);
        assertThat(site.task("letter-0").requestedSpeedPercent()).isLessThan(100);
    }

    @Test
    void aProfileThatIsNeverInterruptedStaysWithinItsShare() {
        for (int number = 0; number < 12; number++) {
            site.submit(Jobs.job("preview-" + number, "previews", 1_000));
        }

        site.steps(3);

        assertThat(site.state().tasks())
                .filteredOn(task -> task.phase() == TaskPhase.RUNNING)
                .hasSize(8);
    }

    @Test
    void aProfileThatMayBeInterruptedBorrowsWhatNobodyClaims() {
        for (int number = 0; number < 16; number++) {
            site.submit(Jobs.job("bulk-" + number, "bulk", 1_000));
        }

        site.steps(3);

        assertThat(site.state().tasks())
                .filteredOn(task -> task.phase() == TaskPhase.RUNNING)
                .hasSize(16);
    }

    @Test
    void anUrgentJobStartsWithinTheBoundOnAFullSite() {
        site.configure(Jobs.configuration(2, Jobs.CAP_MILLIWATTS));
        run("bulk", "bulk", 32);

        site.submit(Jobs.job("urgent", "urgent", 4_000));
        site.steps(4);

        assertThat(site.phase("urgent")).isEqualTo(TaskPhase.RUNNING);
        assertThat(site.state().tasks())
                .filteredOn(task -> task.evictions() > 0)
                .hasSize(4);
    }

    @Test
    void aJobWithANearDeadlineGoesFirst() {
        site.configure(Jobs.configuration(2, Jobs.CAP_MILLIWATTS));
        run("filler", "letters", 32);
        site.submit(Jobs.job("later", "letters", 1_000));
        site.submit(Jobs.job("due", "letters", "team", "class", 1_000, site.nowMillis() + 90_000));

        site.complete("filler-0");
        site.steps(3);

        assertThat(site.phase("due")).isEqualTo(TaskPhase.RUNNING);
        assertThat(site.phase("later")).isEqualTo(TaskPhase.PENDING);
    }

    @Test
    void aTeamThatUsesLessGoesFirstAmongEquals() {
        site.configure(Jobs.configuration(2, Jobs.CAP_MILLIWATTS));
        run("greedy", "letters", 32);
        site.submit(Jobs.job("more", "letters", "team", "class", 1_000, 0));
        site.submit(Jobs.job("modest", "letters", "other-team", "class", 1_000, 0));

        site.complete("greedy-0");
        site.steps(3);

        assertThat(site.phase("modest")).isEqualTo(TaskPhase.RUNNING);
        assertThat(site.phase("more")).isEqualTo(TaskPhase.PENDING);
    }

    @Test
    void aLargeJobIsNotStarvedBySmallOnes() {
        site.configure(Jobs.configuration(2, Jobs.CAP_MILLIWATTS));
        run("small", "letters", 32);
        site.submit(Jobs.job("large", "letters", 8_000));
        int number = 32;

        for (int second = 0; second < 400 && site.phase("large") != TaskPhase.RUNNING; second++) {
            site.complete("small-" + (number - 32));
            site.submit(Jobs.job("small-" + number++, "letters", 1_000));
            site.step();
        }

        assertThat(site.phase("large")).isEqualTo(TaskPhase.RUNNING);
    }

    private void run(String name, String profile, int count) {
        for (int number = 0; number < count; number++) {
            site.submit(Jobs.job(name + "-" + number, profile, 1_000));
        }
        site.steps(2);
    }

    private static JobSpecification serviceJob(String jobId) {
        JobSpecification job = Jobs.job(jobId, "bulk", 1_000);
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
                Jobs.profiles(),
                List.of(new ServiceDefinition("proofs", profile, List.of(), Duration.ofSeconds(1), 0)),
                List.of(),
                capMilliwatts);
    }
}
