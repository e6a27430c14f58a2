package org.nettlering.domain.workflow.sharing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.run;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.RunId;

class SharingGuardTest {
    private static final RunId HEAVY = run("heavy", 0, 0, 1);

    private static final RunId LIGHT = run("light", 0, 0, 1);

    private static final RunId SERVED = run("served", 0, 0, 1);

    private final SharingGuard guard = SharingGuard.create();

    private long nowNanos;

    @Test
    void everythingThatFillsIsSlowedDownAtOnceWhenATargetIsMissedByFar() {
        Map<RunId, Integer> paces = paces(List.of(serving(200)), List.of(filling(HEAVY, "h", 100)));
        assertThat(paces).containsEntry(HEAVY, 5);
    }

    @Test
    void theImageThatWasSeenToDisturbIsSlowedDownFirst() {
        paces(List.of(serving(5)), List.of());
        for (int measurement = 0; measurement < 60; measurement++) {
            paces(List.of(serving(10)), List.of(filling(HEAVY, "h", 100)));
            paces(List.of(serving(5)), List.of(filling(LIGHT, "l", 100)));
        }
        Map<RunId, Integer> paces =
                paces(List.of(serving(16)), List.of(filling(LIGHT, "l", 100), filling(HEAVY, "h", 100)));
        assertThat(paces).containsOnlyKeys(HEAVY);
        assertThat(paces.get(HEAVY)).isLessThan(90);
    }

    @Test
    void anImageThatCostsNothingIsLeftAloneAtThePeakOfTheServicesOwnLoad() {
        learnThat(HEAVY, "h", 10);
        learnThat(LIGHT, "l", 5);
        assertThat(paces(List.of(serving(16)), List.of(filling(LIGHT, "l", 100))))
                .isEmpty();
    }

    @Test
    void everythingThatFillsIsSlowedDownWhenATargetIsMissedForLongWhateverItIsThoughtToCost() {
        learnThat(LIGHT, "l", 5);
        for (int look = 0; look < 2; look++) {
            assertThat(paces(List.of(serving(21)), List.of(filling(LIGHT, "l", 100))))
                    .as("missed for %s s", look)
                    .isEmpty();
        }
        assertThat(paces(List.of(serving(21)), List.of(filling(LIGHT, "l", 100))))
                .containsEntry(LIGHT, 5);
    }

    /** Has a run beside the service on and off, with a tail of 5 ms without it. */
    private void learnThat(RunId run, String image, long tailMillis) {
        for (int measurement = 0; measurement < 30; measurement++) {
            paces(List.of(serving(5)), List.of());
            paces(List.of(serving(tailMillis)), List.of(filling(run, image, 100)));
            paces(List.of(serving(tailMillis)), List.of(filling(run, image, 100)));
        }
    }

    @Test
    void whatWasSlowedDownGoesOnWhenThereIsRoomAgain() {
        paces(List.of(serving(5)), List.of());
        assertThat(paces(List.of(serving(5)), List.of(filling(HEAVY, "h", 5)))).containsKey(HEAVY);
    }

    @Test
    void whatWasSlowedDownGoesOnAtFullPaceWhenNobodyIsServedAnyMore() {
        assertThat(paces(List.of(), List.of(filling(HEAVY, "h", 5)))).containsEntry(HEAVY, 100);
    }

    @Test
    void aHostIsLeftAloneUntilTheLastChangeShows() {
        paces(List.of(serving(200)), List.of(filling(HEAVY, "h", 100)));
        nowNanos -= Duration.ofSeconds(1).toNanos();
        assertThat(paces(List.of(serving(200)), List.of(filling(LIGHT, "l", 100))))
                .isEmpty();
    }

    private Map<RunId, Integer> paces(List<ServingRun> serving, List<FillingRun> filling) {
        nowNanos += Duration.ofSeconds(1).toNanos();
        return guard.paces("host", serving, filling, nowNanos);
    }

    private static ServingRun serving(long tailMillis) {
        return new ServingRun(SERVED, "s", 20, tailMillis);
    }

    private static FillingRun filling(RunId run, String image, int pace) {
        return new FillingRun(run, image, 4_000, 40L * pace, pace);
    }
}
