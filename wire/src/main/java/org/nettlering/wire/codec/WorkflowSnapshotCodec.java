package org.nettlering.wire.codec;

import java.util.List;
import java.util.stream.IntStream;
import org.nettlering.domain.workflow.Evacuations;
import org.nettlering.domain.workflow.WorkflowStateSnapshot;
import org.nettlering.domain.workflow.WorkflowStateSnapshot.JobSnapshot;
import org.nettlering.domain.workflow.WorkflowStateSnapshot.OccurrenceSnapshot;
import org.nettlering.domain.workflow.WorkflowStateSnapshot.StepSnapshot;
import org.nettlering.domain.workflow.WorkflowStateSnapshot.TaskSnapshot;
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
    public static WorkflowSnapshot.Builder encode(WorkflowStateSnapshot image) {
        WorkflowSnapshot.Builder snapshot = WorkflowSnapshot.newBuilder();
        image.jobs().forEach(job -> snapshot.addJobs(encode(job)));
        if (!image.evacuations().equals(Evacuations.NONE)) {
            snapshot.setEvacuations(EvacuationCodec.encode(image.evacuations()));
        }
        return snapshot.setFenceRaises(image.fenceRaises());
    }

    /**
     * Decodes jobs.
     *
     * @param snapshot the snapshot, not null
     * @return the jobs, never null
     */
    public static WorkflowStateSnapshot decode(WorkflowSnapshot snapshot) {
        return new WorkflowStateSnapshot(
                snapshot.getJobsList().stream()
                        .map(WorkflowSnapshotCodec::decode)
                        .toList(),
                snapshot.getFenceRaises(),
                EvacuationCodec.decode(snapshot.getEvacuations()));
    }

    private static JobImageMessage encode(JobSnapshot job) {
        JobImageMessage.Builder message = JobImageMessage.newBuilder()
                .setId(job.id())
                .setTerms(JobDefinitionCodec.encode(job.terms()))
                .setDefinition(JobDefinitionCodec.encode(job.definition()))
                .setAcceptedMillis(job.acceptedMillis())
                .setPhase(JobDefinitionCodec.encode(job.phase()));
        job.occurrences().forEach(each -> message.addOccurrences(encode(each)));
        return message.build();
    }

    private static JobSnapshot decode(JobImageMessage message) {
        return new JobSnapshot(
                message.getId(),
                JobDefinitionCodec.decode(message.getTerms()),
                JobDefinitionCodec.decode(message.getDefinition()),
                message.getAcceptedMillis(),
                JobDefinitionCodec.decode(message.getPhase()),
                message.getOccurrencesList().stream()
                        .map(WorkflowSnapshotCodec::decode)
                        .toList());
    }

    private static OccurrenceImageMessage encode(OccurrenceSnapshot occurrence) {
        OccurrenceImageMessage.Builder message =
                OccurrenceImageMessage.newBuilder().setNumber(occurrence.number());
        occurrence.steps().forEach(step -> message.addSteps(encode(step)));
        return message.build();
    }

    private static OccurrenceSnapshot decode(OccurrenceImageMessage message) {
        return new OccurrenceSnapshot(
                message.getNumber(),
                message.getStepsList().stream()
                        .map(WorkflowSnapshotCodec::decode)
                        .toList());
    }

    private static StepImageMessage encode(StepSnapshot step) {
        StepImageMessage.Builder message = StepImageMessage.newBuilder().addAllFailedGangRuns(step.failedGangRuns());
        if (!step.failedGangRuns().isEmpty()) {
            message.setLastGangFailure(step.failedGangRuns().getLast());
        }
        step.tasks().forEach(task -> message.addTasks(encode(task)));
        return message.build();
    }

    private static StepSnapshot decode(StepImageMessage message) {
        return new StepSnapshot(
                failedGangRuns(message),
                message.getTasksList().stream()
                        .map(WorkflowSnapshotCodec::decode)
                        .toList());
    }

    /** Returns the counted failures; a snapshot without their numbers has counted all runs up to the last failure. */
    private static List<Integer> failedGangRuns(StepImageMessage message) {
        return message.getFailedGangRunsCount() > 0
                ? message.getFailedGangRunsList()
                : IntStream.rangeClosed(1, message.getLastGangFailure()).boxed().toList();
    }

    private static TaskImageMessage encode(TaskSnapshot task) {
        TaskImageMessage.Builder message = TaskImageMessage.newBuilder()
                .setLastRun(task.lastRunNumber())
                .setFailures(task.failures())
                .setDone(task.done())
                .setCheckpoint(task.checkpoint());
        task.activeRuns().forEach(run -> message.addActiveRuns(WorkflowCommandCodec.encode(run)));
        message.addAllUnsettledRuns(task.unconfirmedRuns());
        message.addAllCrashRuns(task.crashRuns());
        message.addAllUnconfirmedCrashRuns(task.unconfirmedCrashRuns());
        return message.build();
    }

    private static TaskSnapshot decode(TaskImageMessage message) {
        return new TaskSnapshot(
                message.getLastRun(),
                message.getFailures(),
                message.getDone(),
                message.getCheckpoint(),
                message.getActiveRunsList().stream()
                        .map(WorkflowCommandCodec::decode)
                        .toList(),
                message.getUnsettledRunsList(),
                message.getCrashRunsList(),
                message.getUnconfirmedCrashRunsList());
    }
}
