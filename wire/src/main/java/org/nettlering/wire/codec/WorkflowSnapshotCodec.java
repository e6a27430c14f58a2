package org.nettlering.wire.codec;

import org.nettlering.domain.workflow.WorkflowImage;
import org.nettlering.domain.workflow.WorkflowImage.JobImage;
import org.nettlering.domain.workflow.WorkflowImage.OccurrenceImage;
import org.nettlering.domain.workflow.WorkflowImage.StepImage;
import org.nettlering.domain.workflow.WorkflowImage.TaskImage;
import org.nettlering.wire.proto.WorkflowProto.JobImageMessage;
import org.nettlering.wire.proto.WorkflowProto.OccurrenceImageMessage;
import org.nettlering.wire.proto.WorkflowProto.StepImageMessage;
import org.nettlering.wire.proto.WorkflowProto.TaskImageMessage;
import org.nettlering.wire.proto.WorkflowProto.WorkflowSnapshot;

/** Encodes and decodes the jobs in snapshots. */
public final class WorkflowSnapshotCodec {
    private WorkflowSnapshotCodec() {}

    /**
     * Encodes jobs.
     *
     * @param image the jobs, not null
     * @return a builder with the jobs, to which the queues are added, never null
     */
    public static WorkflowSnapshot.Builder encode(WorkflowImage image) {
        WorkflowSnapshot.Builder snapshot = WorkflowSnapshot.newBuilder();
        image.jobs().forEach(job -> snapshot.addJobs(encode(job)));
        return snapshot;
    }

    /**
     * Decodes jobs.
     *
     * @param snapshot the snapshot, not null
     * @return the jobs, never null
     */
    public static WorkflowImage decode(WorkflowSnapshot snapshot) {
        return new WorkflowImage(snapshot.getJobsList().stream()
                .map(WorkflowSnapshotCodec::decode)
                .toList());
    }

    private static JobImageMessage encode(JobImage job) {
        JobImageMessage.Builder message = JobImageMessage.newBuilder()
                .setId(job.id())
                .setTerms(JobDefinitionCodec.encode(job.terms()))
                .setDefinition(JobDefinitionCodec.encode(job.definition()))
                .setAcceptedMillis(job.acceptedMillis())
                .setPhase(JobDefinitionCodec.encode(job.phase()));
        job.occurrences().forEach(each -> message.addOccurrences(encode(each)));
        return message.build();
    }

    private static JobImage decode(JobImageMessage message) {
        return new JobImage(
                message.getId(),
                JobDefinitionCodec.decode(message.getTerms()),
                JobDefinitionCodec.decode(message.getDefinition()),
                message.getAcceptedMillis(),
                JobDefinitionCodec.decode(message.getPhase()),
                message.getOccurrencesList().stream()
                        .map(WorkflowSnapshotCodec::decode)
                        .toList());
    }

    private static OccurrenceImageMessage encode(OccurrenceImage occurrence) {
        OccurrenceImageMessage.Builder message =
                OccurrenceImageMessage.newBuilder().setNumber(occurrence.number());
        occurrence.steps().forEach(step -> message.addSteps(encode(step)));
        return message.build();
    }

    private static OccurrenceImage decode(OccurrenceImageMessage message) {
        return new OccurrenceImage(
                message.getNumber(),
                message.getStepsList().stream()
                        .map(WorkflowSnapshotCodec::decode)
                        .toList());
    }

    private static StepImageMessage encode(StepImage step) {
        StepImageMessage.Builder message = StepImageMessage.newBuilder().setLastGangFailure(step.lastGangFailure());
        step.tasks().forEach(task -> message.addTasks(encode(task)));
        return message.build();
    }

    private static StepImage decode(StepImageMessage message) {
        return new StepImage(
                message.getLastGangFailure(),
                message.getTasksList().stream()
                        .map(WorkflowSnapshotCodec::decode)
                        .toList());
    }

    private static TaskImageMessage encode(TaskImage task) {
        TaskImageMessage.Builder message = TaskImageMessage.newBuilder()
                .setLastRun(task.lastRun())
                .setFailures(task.failures())
                .setDone(task.done())
                .setCheckpoint(task.checkpoint());
        task.activeRuns().forEach(run -> message.addActiveRuns(WorkflowCommandCodec.encode(run)));
        message.addAllUnsettledRuns(task.unsettledRuns());
        return message.build();
    }

    private static TaskImage decode(TaskImageMessage message) {
        return new TaskImage(
                message.getLastRun(),
                message.getFailures(),
                message.getDone(),
                message.getCheckpoint(),
                message.getActiveRunsList().stream()
                        .map(WorkflowCommandCodec::decode)
                        .toList(),
                message.getUnsettledRunsList());
    }
}
