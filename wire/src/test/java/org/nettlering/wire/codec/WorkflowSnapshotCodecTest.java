package org.nettlering.wire.codec;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.queue.QueueTerms;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.Evacuations;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.JobPhase;
import org.nettlering.domain.workflow.JobTerms;
import org.nettlering.domain.workflow.PlacementConstraints;
import org.nettlering.domain.workflow.Recurrence;
import org.nettlering.domain.workflow.StepServiceLevel;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.WorkflowStateSnapshot;
import org.nettlering.domain.workflow.WorkflowStateSnapshot.JobSnapshot;
import org.nettlering.domain.workflow.WorkflowStateSnapshot.OccurrenceSnapshot;
import org.nettlering.domain.workflow.WorkflowStateSnapshot.StepSnapshot;
import org.nettlering.domain.workflow.WorkflowStateSnapshot.TaskSnapshot;
import org.nettlering.wire.proto.WorkflowProto.StepImageMessage;
import org.nettlering.wire.proto.WorkflowProto.WorkflowSnapshot;

class WorkflowSnapshotCodecTest {
    private static final StepSpecification GANG = new StepSpecification(
            2,
            Resources.of(1_000, 100, 0),
            1_000,
            List.of(),
            Set.of(StepTrait.GANG),
            PlacementConstraints.NONE,
            StepServiceLevel.UNSPECIFIED);

    @Test
    void theFailedRunsOfAGangAreRestored() {
        WorkflowStateSnapshot snapshot = snapshotWithFailedGangRuns(List.of(1, 4));
        assertThat(WorkflowSnapshotCodec.decode(
                        WorkflowSnapshotCodec.encode(snapshot).build()))
                .isEqualTo(snapshot);
    }

    @Test
    void aMemberOfTheVersionBeforeFindsTheLastFailedRun() {
        WorkflowSnapshot.Builder encoded = WorkflowSnapshotCodec.encode(snapshotWithFailedGangRuns(List.of(1, 4)));
        assertThat(step(encoded).getLastGangFailure()).isEqualTo(4);
    }

    @Test
    void aSnapshotOfTheVersionBeforeHasCountedAllRunsUpToTheLastFailure() {
        WorkflowSnapshot.Builder encoded = WorkflowSnapshotCodec.encode(snapshotWithFailedGangRuns(List.of(3)));
        step(encoded).clearFailedGangRuns();
        assertThat(WorkflowSnapshotCodec.decode(encoded.build()))
                .isEqualTo(snapshotWithFailedGangRuns(List.of(1, 2, 3)));
    }

    @Test
    void theRunsThatMayHaveCrashedTheirHostsAreRestored() {
        TaskSnapshot task = new TaskSnapshot(3, 0, false, "", List.of(), List.of(1, 2, 3), List.of(3), List.of(1, 2));
        WorkflowStateSnapshot snapshot = snapshotWith(new StepSnapshot(List.of(), List.of(task)));
        assertThat(WorkflowSnapshotCodec.decode(
                        WorkflowSnapshotCodec.encode(snapshot).build()))
                .isEqualTo(snapshot);
    }

    private static StepImageMessage.Builder step(WorkflowSnapshot.Builder snapshot) {
        return snapshot.getJobsBuilder(0).getOccurrencesBuilder(0).getStepsBuilder(0);
    }

    private static WorkflowStateSnapshot snapshotWithFailedGangRuns(List<Integer> failedRuns) {
        return snapshotWith(new StepSnapshot(failedRuns, List.of()));
    }

    private static WorkflowStateSnapshot snapshotWith(StepSnapshot step) {
        JobTerms terms = new JobTerms("queue", "pool", new QueueTerms(0, 2, 1.5, 250, false));
        JobDefinition definition = new JobDefinition("work", List.of(GANG), Recurrence.ONCE);
        OccurrenceSnapshot occurrence = new OccurrenceSnapshot(0, List.of(step));
        return new WorkflowStateSnapshot(
                List.of(new JobSnapshot(
                        "0123456789abcdef", terms, definition, 5, JobPhase.QUEUED, List.of(occurrence))),
                3,
                Evacuations.of(2, Set.of("zone-a")));
    }
}
