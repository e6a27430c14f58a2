package org.nettlering.domain.workflow.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.nettlering.domain.workflow.WorkflowSamples.step;

import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.Recurrence;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;

class JobAdmissionPolicyTest {
    private static final JobDefinition LONG_RUNNING_JOB =
            new JobDefinition("watch", List.of(step(6, List.of(), StepTrait.LONG_RUNNING)), Recurrence.ONCE);

    private static final JobDefinition FINITE_JOB =
            new JobDefinition("work", List.of(step(6, List.of())), Recurrence.ONCE);

    @Test
    void longRunningJobsAreRejectedBeyondTheirShareOfThePool() {
        long longRunningMillicores = 0;
        int admitted = 0;
        while (JobAdmissionPolicy.rejectionRetryDelay(LONG_RUNNING_JOB, 100_000, longRunningMillicores)
                .isEmpty()) {
            longRunningMillicores += LONG_RUNNING_JOB.longRunningMillicores();
            admitted++;
        }
        assertThat(admitted).isEqualTo(14);
        assertThat(longRunningMillicores).isLessThanOrEqualTo(88_000);
    }

    @Test
    void finiteJobsAreAlwaysAdmitted() {
        assertThat(JobAdmissionPolicy.rejectionRetryDelay(FINITE_JOB, 100_000, 100_000))
                .isEmpty();
    }

    @Test
    void noJobIsRejectedBeforeAnyHostIsKnown() {
        assertThat(JobAdmissionPolicy.rejectionRetryDelay(LONG_RUNNING_JOB, 0, 50_000))
                .isEmpty();
    }

    @Test
    void jobThatNoMemberCouldHoldInMemoryIsInvalid() {
        List<StepSpecification> steps = Collections.nCopies(1_000, step(100_000, List.of()));
        JobDefinition tooLarge = new JobDefinition("work", steps, Recurrence.ONCE);
        assertThatThrownBy(() -> JobAdmissionPolicy.requireAcceptableSize(tooLarge))
                .isInstanceOf(NettleringException.class)
                .hasMessageContaining("100000000 tasks");
        JobDefinition tooOften =
                new JobDefinition("work", List.of(step(6, List.of())), new Recurrence(Integer.MAX_VALUE, 0, 0));
        assertThatThrownBy(() -> JobAdmissionPolicy.requireAcceptableSize(tooOften))
                .isInstanceOf(NettleringException.class);
        assertThatCode(() -> JobAdmissionPolicy.requireAcceptableSize(FINITE_JOB))
                .doesNotThrowAnyException();
    }

    @Test
    void jobsAreRejectedWhileTheMembersHoldTooManyTasks() {
        assertThat(JobAdmissionPolicy.retryDelayIfTooManyTasks(FINITE_JOB, 249_994))
                .isEmpty();
        assertThat(JobAdmissionPolicy.retryDelayIfTooManyTasks(FINITE_JOB, 249_995))
                .isPresent();
    }
}
