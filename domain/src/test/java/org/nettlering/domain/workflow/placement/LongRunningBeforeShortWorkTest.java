package org.nettlering.domain.workflow.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.function.LongPredicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.Recurrence;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.admission.LongRunningShare;

/**
 * More long-running jobs than the pool has processors for come first, then a steady stream of best-effort jobs that are due in
 * eight seconds. The load of the services rises and falls by half within fourteen seconds, and best-effort work disturbs them
 * by amounts that change within seconds.
 */
class LongRunningBeforeShortWorkTest {
    private static final int HOSTS = 10;
    private static final long HOST_MILLICORES = 32_000;
    private static final int SERVICES = 10;
    private static final int TASKS_PER_SERVICE = 6;
    private static final long TASK_MILLICORES = 6_400;
    private static final int JOBS = 60;
    private static final int MILLIS_PER_JOB = 350;

    private final LoadReplay replay = new LoadReplay(
            HOSTS,
            (image, seconds) -> 0.45 + 0.25 * Math.sin(2 * Math.PI * (seconds / 14 + image.hashCode() % 5 / 5.0)),
            (image, seconds) -> (image.equals("heavy") ? 0.03 : 0.006) * (1 + Math.sin(2 * Math.PI * seconds / 3)));

    private final LongRunningShare share = LongRunningShare.observedSince(0);

    private final StepSpecification service =
            replay.submitLatencyCritical("service-0", "service-0", TASKS_PER_SERVICE, TASK_MILLICORES);

    @Test
    void shortJobsThatFollowAreDoneInTime() {
        replayWith(held -> share.retryDelay(
                        new JobDefinition("", List.of(service), Recurrence.ONCE),
                        "pool",
                        HOSTS * HOST_MILLICORES,
                        held,
                        0)
                .isEmpty());
        assertThat(jobsInTime()).isGreaterThan(JOBS * 9 / 10);
        assertThat(replay.shareOverTarget()).isLessThan(0.05);
    }

    /** Shows that the load needs it: the services would also be served worse. */
    @Test
    void withNearlyTheWholePoolHeldByServicesManyOfThemAreLate() {
        replayWith(held -> held + TASKS_PER_SERVICE * TASK_MILLICORES <= HOSTS * HOST_MILLICORES * 88 / 100);
        assertThat(jobsInTime()).isLessThan(JOBS * 3 / 4);
    }

    private void replayWith(LongPredicate admitted) {
        long held = TASKS_PER_SERVICE * TASK_MILLICORES;
        for (int number = 1; number < SERVICES && admitted.test(held); number++) {
            replay.submitLatencyCritical(
                    "service-" + number, "service-" + number % 3, TASKS_PER_SERVICE, TASK_MILLICORES);
            held += TASKS_PER_SERVICE * TASK_MILLICORES;
        }
        replay.advance(Duration.ofSeconds(5));
        for (int job = 0; job < JOBS; job++) {
            replay.submitBestEffort("job-" + job, job % 3 == 0 ? "heavy" : "light", 8, 3_500);
            replay.advance(Duration.ofMillis(MILLIS_PER_JOB));
        }
        replay.advance(Duration.ofSeconds(10));
    }

    private long jobsInTime() {
        return IntStream.range(0, JOBS)
                .filter(job -> replay.endMillis("job-" + job) <= 5_000 + job * MILLIS_PER_JOB + 8_000)
                .count();
    }
}
