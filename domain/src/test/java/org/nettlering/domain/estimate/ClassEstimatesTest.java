package org.nettlering.domain.estimate;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.nettlering.domain.placement.TestJobs;
import org.nettlering.domain.task.JobSpecification;

class ClassEstimatesTest {
    private final ClassEstimates estimates = ClassEstimates.empty();
    private final JobSpecification job = TestJobs.job("job", "letters", 4_000);

    @Test
    void declaredResourcesAreUsedUntilEnoughSamplesExist() {
        addSamples(29, 1_000, 5_000);

        assertThat(estimates.resources(job)).isEqualTo(job.declaredResources());
    }

    @Test
    void resourcesAreLoweredWhenMeasuredUsageIsSmaller() {
        addSamples(30, 1_000, 5_000);

        assertThat(estimates.resources(job).millicores()).isBetween(1_100L, 1_300L);
    }

    @Test
    void resourcesAreRaisedWhenMeasuredUsageIsLarger() {
        addSamples(30, 6_000, 5_000);

        assertThat(estimates.resources(job).millicores()).isGreaterThan(6_000);
    }

    @Test
    void usageEqualToTheDeclarationKeepsTheDeclaration() {
        for (int sample = 0; sample < 300; sample++) {
            estimates.addUsage(
                    job.workClass(),
                    job.declaredResources().millicores(),
                    job.declaredResources().memoryMebibytes(),
                    job.powerMilliwatts());
        }

        assertThat(estimates.resources(job)).isEqualTo(job.declaredResources());
        assertThat(estimates.powerMilliwatts(job)).isEqualTo(job.powerMilliwatts());
    }

    @Test
    void powerIsRaisedAtOnceButLoweredOnlyAfterManySamples() {
        addSamples(1, 1_000, 90_000);
        assertThat(estimates.powerMilliwatts(job)).isGreaterThanOrEqualTo(90_000);

        ClassEstimates lowPower = ClassEstimates.empty();
        lowPower.addUsage(job.workClass(), 1_000, 1_000, 1_000);
        assertThat(lowPower.powerMilliwatts(job)).isEqualTo(job.powerMilliwatts());
    }

    @Test
    void runTimeIsTheMedianOfCompletedTasks() {
        for (int run = 0; run < 5; run++) {
            estimates.addRunTime(job.workClass(), run == 4 ? 900_000 : 10_000);
        }

        assertThat(estimates.runTimeMillis(job)).isBetween(10_000L, 11_500L);
    }

    private void addSamples(int samples, long millicores, long milliwatts) {
        for (int sample = 0; sample < samples; sample++) {
            estimates.addUsage(job.workClass(), millicores, 1_000, milliwatts);
        }
    }
}
