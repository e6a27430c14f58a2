package org.nettlering.wire.codec;

import java.util.Locale;
import org.nettlering.domain.task.TaskImage;
import org.nettlering.domain.task.TaskPhase;
import org.nettlering.domain.task.TaskStateImage;
import org.nettlering.domain.task.WorkerImage;
import org.nettlering.wire.proto.TaskProto;

/** Translates snapshots of the task state. Stateless and thread-safe. */
public final class TaskSnapshotCodec {
    private TaskSnapshotCodec() {}

    /** Encodes an image of the state. */
    public static TaskProto.TaskSnapshot encode(TaskStateImage image) {
        TaskProto.TaskSnapshot.Builder builder = TaskProto.TaskSnapshot.newBuilder()
                .addAllFinishedJobIds(image.finishedJobIds())
                .addAllForgottenJobIds(image.forgottenJobIds())
                .setPeakMilliwatts(image.peakMilliwatts());
        image.tasks().forEach(task -> builder.addTasks(encode(task)));
        image.workers().forEach(worker -> builder.addWorkers(encode(worker)));
        return builder.build();
    }

    /** Decodes an image of the state. */
    public static TaskStateImage decode(TaskProto.TaskSnapshot message) {
        return new TaskStateImage(
                message.getTasksList().stream().map(TaskSnapshotCodec::decode).toList(),
                message.getWorkersList().stream().map(TaskSnapshotCodec::decode).toList(),
                message.getFinishedJobIdsList(),
                message.getForgottenJobIdsList(),
                message.getPeakMilliwatts());
    }

    private static TaskProto.TaskRecord encode(TaskImage task) {
        TaskProto.TaskRecord.Builder builder = TaskProto.TaskRecord.newBuilder()
                .setJob(TaskCodec.job(task.job()))
                .setOperationId(task.operationId())
                .setSubmittedUnixMillis(task.submittedMillis())
                .setPhase(task.phase().text())
                .setEpoch(task.epoch())
                .setWorkerId(task.workerId())
                .setCommitment(TaskCodec.resources(task.commitment()))
                .setPowerMilliwatts(task.powerMilliwatts())
                .setCommittedPercent(task.committedPercent())
                .setThrottlePercent(task.throttlePercent())
                .setThrottleVersion(task.throttleVersion())
                .setThrottledUnixMillis(task.throttledMillis())
                .setCheckpointSequence(task.checkpoint())
                .setCheckpointUnixMillis(task.checkpointMillis())
                .setResumedFrom(task.resumedFrom())
                .setStartedUnixMillis(task.startedMillis())
                .setPhaseUnixMillis(task.phaseMillis())
                .setGraceMillis(task.graceMillis())
                .setEvictions(task.evictions())
                .setLosses(task.losses())
                .addAllFailedOn(task.failedOn());
        task.decisions().forEach(decision -> builder.addDecisions(TaskCodec.decision(decision)));
        return builder.build();
    }

    private static TaskImage decode(TaskProto.TaskRecord message) {
        return new TaskImage(
                TaskCodec.job(message.getJob()),
                message.getOperationId(),
                message.getSubmittedUnixMillis(),
                TaskPhase.valueOf(message.getPhase().toUpperCase(Locale.ROOT)),
                message.getEpoch(),
                message.getWorkerId(),
                TaskCodec.resources(message.getCommitment()),
                message.getPowerMilliwatts(),
                message.getCommittedPercent(),
                message.getThrottlePercent(),
                message.getThrottleVersion(),
                message.getThrottledUnixMillis(),
                message.getCheckpointSequence(),
                message.getCheckpointUnixMillis(),
                message.getResumedFrom(),
                message.getStartedUnixMillis(),
                message.getPhaseUnixMillis(),
                message.getGraceMillis(),
                message.getEvictions(),
                message.getLosses(),
                message.getFailedOnList(),
                message.getDecisionsList().stream().map(TaskCodec::decision).toList());
    }

    private static TaskProto.WorkerRecord encode(WorkerImage worker) {
        TaskProto.WorkerRecord.Builder builder = TaskProto.WorkerRecord.newBuilder()
                .setId(worker.id())
                .setIncarnation(worker.incarnation())
                .setSession(worker.session())
                .setLive(worker.live())
                .setCapacity(TaskCodec.resources(worker.capacity()))
                .setIdleMilliwatts(worker.idleMilliwatts())
                .setRack(worker.rack())
                .setFailureDomain(worker.failureDomain())
                .setQuarantinedUntilUnixMillis(worker.quarantinedUntilMillis())
                .setQuarantines(worker.quarantines())
                .addAllBlamedFor(worker.blamedFor());
        worker.decisions().forEach(decision -> builder.addDecisions(TaskCodec.decision(decision)));
        return builder.build();
    }

    private static WorkerImage decode(TaskProto.WorkerRecord message) {
        return new WorkerImage(
                message.getId(),
                message.getIncarnation(),
                message.getSession(),
                message.getLive(),
                TaskCodec.resources(message.getCapacity()),
                message.getIdleMilliwatts(),
                message.getRack(),
                message.getFailureDomain(),
                message.getQuarantinedUntilUnixMillis(),
                message.getQuarantines(),
                message.getBlamedForList(),
                message.getDecisionsList().stream().map(TaskCodec::decision).toList());
    }
}
