package org.nettlering.wire.codec;

import java.util.Locale;
import org.nettlering.domain.task.StoredTask;
import org.nettlering.domain.task.StoredTaskState;
import org.nettlering.domain.task.StoredWorker;
import org.nettlering.domain.task.TaskPhase;
import org.nettlering.wire.proto.TaskProto;

/** Translates snapshots of the task state. Stateless and thread-safe. */
public final class TaskSnapshotCodec {
    private TaskSnapshotCodec() {}

    /** Encodes an image of the state. */
    public static TaskProto.TaskSnapshot encode(StoredTaskState image) {
        TaskProto.TaskSnapshot.Builder builder = TaskProto.TaskSnapshot.newBuilder()
                .addAllFinishedJobIds(image.finishedJobIds())
                .addAllForgottenJobIds(image.idOnlyJobIds())
                .setPeakMilliwatts(image.peakMilliwatts());
        image.tasks().forEach(task -> builder.addTasks(encode(task)));
        image.workers().forEach(worker -> builder.addWorkers(encode(worker)));
        return builder.build();
    }

    /** Decodes an image of the state. */
    public static StoredTaskState decode(TaskProto.TaskSnapshot message) {
        return new StoredTaskState(
                message.getTasksList().stream().map(TaskSnapshotCodec::decode).toList(),
                message.getWorkersList().stream().map(TaskSnapshotCodec::decode).toList(),
                message.getFinishedJobIdsList(),
                message.getForgottenJobIdsList(),
                message.getPeakMilliwatts());
    }

    private static TaskProto.TaskRecord encode(StoredTask task) {
        TaskProto.TaskRecord.Builder builder = TaskProto.TaskRecord.newBuilder()
                .setJob(TaskCodec.job(task.job()))
                .setOperationId(task.operationId())
                .setSubmittedUnixMillis(task.submittedMillis())
                .setPhase(task.phase().text())
                .setEpoch(task.epoch())
                .setWorkerId(task.workerId())
                .setCommitment(TaskCodec.resources(task.allocation()))
                .setPowerMilliwatts(task.powerMilliwatts())
                .setCommittedPercent(task.allocatedSpeedPercent())
                .setThrottlePercent(task.requestedSpeedPercent())
                .setThrottleVersion(task.throttleVersion())
                .setThrottledUnixMillis(task.speedChangedMillis())
                .setCheckpointSequence(task.checkpoint())
                .setCheckpointUnixMillis(task.checkpointMillis())
                .setResumedFrom(task.resumeCheckpoint())
                .setStartedUnixMillis(task.startedMillis())
                .setPhaseUnixMillis(task.phaseStartMillis())
                .setGraceMillis(task.graceMillis())
                .setEvictions(task.evictions())
                .setLosses(task.workerLosses())
                .addAllFailedOn(task.failedWorkerIds());
        task.decisions().forEach(decision -> builder.addDecisions(TaskCodec.decision(decision)));
        return builder.build();
    }

    private static StoredTask decode(TaskProto.TaskRecord message) {
        return new StoredTask(
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

    private static TaskProto.WorkerRecord encode(StoredWorker worker) {
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
                .addAllBlamedFor(worker.attributedFailures());
        worker.decisions().forEach(decision -> builder.addDecisions(TaskCodec.decision(decision)));
        return builder.build();
    }

    private static StoredWorker decode(TaskProto.WorkerRecord message) {
        return new StoredWorker(
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
