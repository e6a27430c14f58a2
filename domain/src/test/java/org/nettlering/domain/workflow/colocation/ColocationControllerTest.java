package org.nettlering.domain.workflow.colocation;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.run;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.RunId;

class ColocationControllerTest {
    private static final RunId HEAVY = run("heavy", 0, 0, 1);

    private static final RunId LIGHT = run("light", 0, 0, 1);

    private static final RunId LATENCY_CRITICAL = run("served", 0, 0, 1);

    private final ColocationController controller = ColocationController.create();

    private long nowNanos;

    @Test
    void allBestEffortRunsAreThrottledAtOnceWhenTargetIsFarExceeded() {
        Map<RunId, Integer> speeds =
                adjustSpeeds(List.of(latencyCriticalRun(200)), List.of(bestEffortRun(HEAVY, "h", 100)));
        assertThat(speeds).containsEntry(HEAVY, 5);
    }

    @Test
    void imageWithHighestLearnedCostIsThrottledFirst() {
        adjustSpeeds(List.of(latencyCriticalRun(5)), List.of());
        for (int measurement = 0; measurement < 60; measurement++) {
            adjustSpeeds(List.of(latencyCriticalRun(10)), List.of(bestEffortRun(HEAVY, "h", 100)));
            adjustSpeeds(List.of(latencyCriticalRun(5)), List.of(bestEffortRun(LIGHT, "l", 100)));
        }
        Map<RunId, Integer> speeds = adjustSpeeds(
                List.of(latencyCriticalRun(16)),
                List.of(bestEffortRun(LIGHT, "l", 100), bestEffortRun(HEAVY, "h", 100)));
        assertThat(speeds).containsOnlyKeys(HEAVY);
        assertThat(speeds.get(HEAVY)).isLessThan(90);
    }

    @Test
    void imageWithNegligibleCostIsNotThrottledAtPeakServiceLoad() {
        trainOn(HEAVY, "h", 10);
        trainOn(LIGHT, "l", 5);
        assertThat(adjustSpeeds(List.of(latencyCriticalRun(16)), List.of(bestEffortRun(LIGHT, "l", 100))))
                .isEmpty();
    }

    @Test
    void allBestEffortRunsAreThrottledAfterLongTargetMissRegardlessOfLearnedCost() {
        trainOn(LIGHT, "l", 5);
        for (int second = 0; second < 2; second++) {
            assertThat(adjustSpeeds(List.of(latencyCriticalRun(21)), List.of(bestEffortRun(LIGHT, "l", 100))))
                    .as("missed for %s s", second)
                    .isEmpty();
        }
        assertThat(adjustSpeeds(List.of(latencyCriticalRun(21)), List.of(bestEffortRun(LIGHT, "l", 100))))
                .containsEntry(LIGHT, 5);
    }

    /** Alternates between measurements with the run and without it; the tail latency is 5 ms without it. */
    private void trainOn(RunId run, String image, long tailLatencyMillis) {
        for (int measurement = 0; measurement < 30; measurement++) {
            adjustSpeeds(List.of(latencyCriticalRun(5)), List.of());
            adjustSpeeds(List.of(latencyCriticalRun(tailLatencyMillis)), List.of(bestEffortRun(run, image, 100)));
            adjustSpeeds(List.of(latencyCriticalRun(tailLatencyMillis)), List.of(bestEffortRun(run, image, 100)));
        }
    }

    @Test
    void throttledRunSpeedsUpWhenPressureAllows() {
        adjustSpeeds(List.of(latencyCriticalRun(5)), List.of());
        assertThat(adjustSpeeds(List.of(latencyCriticalRun(5)), List.of(bestEffortRun(HEAVY, "h", 5))))
                .containsKey(HEAVY);
    }

    @Test
    void throttledRunReturnsToFullSpeedWithoutLatencyCriticalRuns() {
        assertThat(adjustSpeeds(List.of(), List.of(bestEffortRun(HEAVY, "h", 5))))
                .containsEntry(HEAVY, 100);
    }

    @Test
    void speedsStayUnchangedDuringSettlingTime() {
        adjustSpeeds(List.of(latencyCriticalRun(200)), List.of(bestEffortRun(HEAVY, "h", 100)));
        nowNanos -= Duration.ofSeconds(1).toNanos();
        assertThat(adjustSpeeds(List.of(latencyCriticalRun(200)), List.of(bestEffortRun(LIGHT, "l", 100))))
                .isEmpty();
    }

    private Map<RunId, Integer> adjustSpeeds(List<LatencyCriticalRun> latencyCritical, List<BestEffortRun> bestEffort) {
        nowNanos += Duration.ofSeconds(1).toNanos();
        return controller.adjustSpeeds("host", latencyCritical, bestEffort, nowNanos);
    }

    private static LatencyCriticalRun latencyCriticalRun(long tailLatencyMillis) {
        return new LatencyCriticalRun(LATENCY_CRITICAL, "s", 20, tailLatencyMillis);
    }

    private static BestEffortRun bestEffortRun(RunId run, String image, int speed) {
        return new BestEffortRun(run, image, 4_000, 40L * speed, speed);
    }
}
