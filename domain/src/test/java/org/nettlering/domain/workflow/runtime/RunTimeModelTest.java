package org.nettlering.domain.workflow.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.StepId;

/** The load of each test is a stream of jobs of one queue whose steps run for 0.5 to 3 s. */
class RunTimeModelTest {
    private static final String QUEUE = "queue";
    private static final int JOBS = 300;

    private final SplittableRandom random = new SplittableRandom(20261204);
    private final RunTimeModel model = RunTimeModel.empty();

    @Test
    void declaredTimesHoldUntilSomethingIsLearned() {
        assertThat(estimate(0, 1_000)).isEqualTo(RunTimeEstimate.ofDeclared(1_000));
        model.add(QUEUE, step(1), 1_000, 5_000);
        assertThat(estimate(2, 1_000)).isEqualTo(RunTimeEstimate.ofDeclared(1_000));
    }

    @Test
    void declarationsThatAreWrongByOneFactorAreCorrectedByIt() {
        for (int job = 0; job < JOBS; job++) {
            long actual = drawRunTime();
            model.add(QUEUE, step(job), actual / 4, actual);
        }
        assertThat(estimate(JOBS, 250).expectedMillis()).isBetween(950L, 1_050L);
        assertThat(estimate(JOBS, 500).expectedMillis()).isBetween(1_900L, 2_100L);
    }

    @Test
    void declarationsWithoutAnyTruthAreIgnored() {
        for (int job = 0; job < JOBS; job++) {
            model.add(QUEUE, step(job), 1 + random.nextLong(100_000), 900 + random.nextLong(200));
        }
        assertThat(estimate(JOBS, 10).expectedMillis()).isBetween(800L, 1_200L);
        assertThat(estimate(JOBS, 100_000).expectedMillis()).isBetween(800L, 1_200L);
    }

    @Test
    void estimatesAreCloserThanDeclarationsThatAreOffByUpToNineTenths() {
        double declaredError = 0;
        double estimatedError = 0;
        for (int job = 0; job < JOBS; job++) {
            long actual = drawRunTime();
            long declared = Math.round(actual * (0.1 + 1.8 * random.nextDouble()));
            if (job >= JOBS / 3) {
                declaredError += error(declared, actual);
                estimatedError += error(estimate(job, declared).expectedMillis(), actual);
            }
            model.add(QUEUE, step(job), declared, actual);
        }
        assertThat(estimatedError).isLessThan(declaredError * 0.75);
    }

    @Test
    void siblingsThatHaveEndedReplaceThePrediction() {
        for (int job = 0; job < JOBS; job++) {
            model.add(QUEUE, step(job), 1_000, 1_000);
        }
        model.add(QUEUE, step(JOBS), 1_000, 4_000);
        assertThat(estimate(JOBS, 1_000).expectedMillis()).isEqualTo(4_000);
        assertThat(model.siblingCount(step(JOBS))).isEqualTo(1);
    }

    @Test
    void workThatChangesIsLearnedAnewWithinAHundredEnds() {
        for (int job = 0; job < JOBS; job++) {
            model.add(QUEUE, step(job), 1_000, 1_000);
        }
        for (int job = 0; job < 100; job++) {
            model.add(QUEUE, step(JOBS + job), 1_000, 6_000);
        }
        assertThat(estimate(2 * JOBS, 1_000).expectedMillis()).isBetween(4_500L, 6_000L);
    }

    @Test
    void queuesAndPositionsAreLearnedApart() {
        for (int job = 0; job < JOBS; job++) {
            model.add(QUEUE, step(job), 1_000, 3_000);
        }
        assertThat(model.estimate("other", step(JOBS), 1_000)).isEqualTo(RunTimeEstimate.ofDeclared(1_000));
        assertThat(model.estimate(QUEUE, new StepId("j", 0, 1), 1_000)).isEqualTo(RunTimeEstimate.ofDeclared(1_000));
    }

    private RunTimeEstimate estimate(int job, long declaredMillis) {
        return model.estimate(QUEUE, step(job), declaredMillis);
    }

    private static StepId step(int job) {
        return new StepId("job-" + job, 0, 0);
    }

    private long drawRunTime() {
        return 500 + random.nextLong(2_500);
    }

    /** Returns by which factor two times differ, as a logarithm. */
    private static double error(long estimatedMillis, long actualMillis) {
        return Math.abs(Math.log((double) Math.max(1, estimatedMillis) / actualMillis));
    }
}
