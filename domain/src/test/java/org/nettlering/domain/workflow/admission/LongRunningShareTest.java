package org.nettlering.domain.workflow.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.step;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.Recurrence;
import org.nettlering.domain.workflow.StepTrait;

/** A pool of a hundred processors; long-running jobs hold six, short ones need six for a second. */
class LongRunningShareTest {
    private static final long POOL_MILLICORES = 100_000;

    private static final JobDefinition LONG_RUNNING_JOB =
            new JobDefinition("watch", List.of(step(6, List.of(), StepTrait.LONG_RUNNING)), Recurrence.ONCE);

    private static final JobDefinition SHORT_JOB =
            new JobDefinition("work", List.of(step(6, List.of())), Recurrence.ONCE);

    private final LongRunningShare share = LongRunningShare.observedSince(0);

    private long nowNanos;

    @Test
    void longRunningJobsThatArriveFirstLeaveRoomForTheShortJobsThatFollow() {
        assertThat(admitUntilRejected()).isEqualTo(10);
    }

    @Test
    void longRunningJobsHoldAllButAReserveOfAPoolWithoutShortJobs() {
        nowNanos = Duration.ofMinutes(1).toNanos();
        assertThat(admitUntilRejected()).isEqualTo(14);
    }

    @Test
    void longRunningJobsGetWhatTheDemandOfShortJobsLeaves() {
        submitShortJobsFor(Duration.ofMinutes(2), 5);
        assertThat(share.percent("pool", POOL_MILLICORES, nowNanos)).isBetween(68, 72);
    }

    @Test
    void longRunningJobsKeepHalfOfThePoolWhateverShortJobsDemand() {
        submitShortJobsFor(Duration.ofMinutes(2), 30);
        assertThat(share.percent("pool", POOL_MILLICORES, nowNanos)).isEqualTo(50);
    }

    @Test
    void aFewJobsAtFirstDoNotRaiseTheShareBeforeTheDemandIsKnown() {
        submitShortJobsFor(Duration.ofSeconds(20), 1);
        assertThat(share.percent("pool", POOL_MILLICORES, nowNanos)).isEqualTo(60);
    }

    @Test
    void aShortBurstTurnsFewLongRunningJobsAway() {
        submitShortJobsFor(Duration.ofMinutes(2), 2);
        submitShortJobsFor(Duration.ofSeconds(5), 10);
        assertThat(share.percent("pool", POOL_MILLICORES, nowNanos)).isBetween(78, 86);
    }

    @Test
    void theDemandOfAnotherPoolDoesNotCount() {
        submitShortJobsFor(Duration.ofMinutes(2), 5);
        assertThat(share.percent("other", POOL_MILLICORES, nowNanos)).isEqualTo(88);
    }

    @Test
    void theOnlyLongRunningJobOfASmallPoolIsAdmitted() {
        assertThat(share.retryDelay(LONG_RUNNING_JOB, "pool", 7_000, 0, nowNanos))
                .isEmpty();
        assertThat(share.retryDelay(LONG_RUNNING_JOB, "pool", 7_000, 1_000, nowNanos))
                .isPresent();
    }

    @Test
    void noJobIsRejectedBeforeAnyHostIsKnown() {
        assertThat(share.retryDelay(LONG_RUNNING_JOB, "pool", 0, 50_000, nowNanos))
                .isEmpty();
    }

    private int admitUntilRejected() {
        long held = 0;
        int admitted = 0;
        while (share.retryDelay(LONG_RUNNING_JOB, "pool", POOL_MILLICORES, held, nowNanos)
                .isEmpty()) {
            held += LONG_RUNNING_JOB.longRunningMillicores();
            admitted++;
        }
        return admitted;
    }

    private void submitShortJobsFor(Duration time, int jobsPerSecond) {
        for (long job = 0; job < time.toSeconds() * jobsPerSecond; job++) {
            nowNanos += Duration.ofSeconds(1).toNanos() / jobsPerSecond;
            share.shortJobSubmitted(SHORT_JOB, "pool", nowNanos);
        }
    }
}
