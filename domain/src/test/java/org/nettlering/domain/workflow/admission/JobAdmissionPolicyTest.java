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
import org.nettlering.domain.workflow.JobFootprint;
import org.nettlering.domain.workflow.Recurrence;
import org.nettlering.domain.workflow.StepSpecification;

class JobAdmissionPolicyTest {
    private static final JobDefinition FINITE_JOB =
            new JobDefinition("work", List.of(step(6, List.of())), Recurrence.ONCE);

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

    @Test
    void specificationOfMoreThan4000BytesIsInvalid() {
        JobDefinition largest = new JobDefinition("ä".repeat(2_000), List.of(step(1, List.of())), Recurrence.ONCE);
        assertThatCode(() -> JobAdmissionPolicy.requireAcceptableSize(largest)).doesNotThrowAnyException();
        JobDefinition tooLarge =
                new JobDefinition("ä".repeat(2_000) + "a", List.of(step(1, List.of())), Recurrence.ONCE);
        assertThatThrownBy(() -> JobAdmissionPolicy.requireAcceptableSize(tooLarge))
                .isInstanceOf(NettleringException.class)
                .hasMessageContaining("4001 bytes");
    }

    @Test
    void jobsAreRejectedWhileTheMembersHoldTooManyBytes() {
        long jobBytes = JobFootprint.unfinishedBytes(FINITE_JOB);
        assertThat(JobAdmissionPolicy.retryDelayIfTooManyBytes(FINITE_JOB, 1_000_000 - jobBytes, 1_000_000))
                .isEmpty();
        assertThat(JobAdmissionPolicy.retryDelayIfTooManyBytes(FINITE_JOB, 1_000_001 - jobBytes, 1_000_000))
                .isPresent();
    }

    @Test
    void largeJobsLeaveAQuarterToSmallOnes() {
        JobDefinition large =
                new JobDefinition("work", Collections.nCopies(1_000, step(1, List.of())), Recurrence.ONCE);
        long jobBytes = JobFootprint.unfinishedBytes(large);
        assertThat(JobAdmissionPolicy.retryDelayIfTooManyBytes(large, 3_000_000 - jobBytes, 4_000_000))
                .isEmpty();
        assertThat(JobAdmissionPolicy.retryDelayIfTooManyBytes(large, 3_000_001 - jobBytes, 4_000_000))
                .isPresent();
        assertThat(JobAdmissionPolicy.retryDelayIfTooManyBytes(FINITE_JOB, 3_000_001, 4_000_000))
                .isEmpty();
    }
}
