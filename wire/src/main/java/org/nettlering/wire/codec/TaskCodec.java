package org.nettlering.wire.codec;

import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.task.Decision;
import org.nettlering.domain.task.JobSpecification;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TerminationReason;
import org.nettlering.domain.task.Worker;
import org.nettlering.domain.worker.WorkerCommand;
import org.nettlering.domain.worker.WorkerReport;
import org.nettlering.wire.proto.TaskProto;

/** Translates jobs, reports and commands for workers. Stateless and thread-safe. */
public final class TaskCodec {
    /** The longest id or name that is accepted, in characters. */
    private static final int MAX_NAME_LENGTH = 200;

    /** The largest amount that is accepted, so that sums cannot overflow. */
    private static final long MAX_AMOUNT = 1L << 40;

    private TaskCodec() {}

    /** Decodes a job and checks its bounds. */
    public static JobSpecification job(TaskProto.JobSpecification message) {
        checkName("job_id", message.getJobId());
        if (message.getJobId().isEmpty()) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "job_id is empty");
        }
        checkName("team", message.getTeam());
        checkName("profile", message.getProfile());
        checkName("service", message.getService());
        checkName("work_class", message.getWorkClass());
        checkAmount("power_milliwatts", message.getPowerMilliwatts());
        checkAmount("declared_run_time_millis", message.getDeclaredRunTimeMillis());
        return new JobSpecification(
                message.getJobId(),
                message.getTeam(),
                message.getProfile(),
                message.getService(),
                message.getWorkClass(),
                resources(message.getDeclared()),
                message.getPowerMilliwatts(),
                message.getDeclaredRunTimeMillis(),
                Math.max(0, message.getDeadlineUnixMillis()),
                message.getServiceTask());
    }

    /** Encodes a job. */
    public static TaskProto.JobSpecification job(JobSpecification job) {
        return TaskProto.JobSpecification.newBuilder()
                .setJobId(job.jobId())
                .setTeam(job.team())
                .setProfile(job.profile())
                .setService(job.service())
                .setWorkClass(job.workClass())
                .setDeclared(resources(job.declaredResources()))
                .setPowerMilliwatts(job.powerMilliwatts())
                .setDeclaredRunTimeMillis(job.declaredRunTimeMillis())
                .setDeadlineUnixMillis(job.deadlineMillis())
                .setServiceTask(job.serviceTask())
                .build();
    }

    /** Decodes an amount and checks its bounds. */
    public static Resources resources(TaskProto.Resources message) {
        checkAmount("millicores", message.getMillicores());
        checkAmount("memory_mebibytes", message.getMemoryMebibytes());
        checkAmount("accelerators", message.getAccelerators());
        return Resources.of(message.getMillicores(), message.getMemoryMebibytes(), message.getAccelerators());
    }

    /** Encodes an amount; kinds below zero are sent as zero. */
    public static TaskProto.Resources resources(Resources resources) {
        return TaskProto.Resources.newBuilder()
                .setMillicores(Math.max(0, resources.millicores()))
                .setMemoryMebibytes(Math.max(0, resources.memoryMebibytes()))
                .setAccelerators(Math.max(0, resources.accelerators()))
                .build();
    }

    /** Decodes a report and checks its bounds. */
    public static WorkerReport report(TaskProto.WorkerReport message) {
        checkName("worker_id", message.getWorkerId());
        if (message.getWorkerId().isEmpty()) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "worker_id is empty");
        }
        checkName("rack", message.getRack());
        checkName("failure_domain", message.getFailureDomain());
        checkAmount("idle_milliwatts", message.getIdleMilliwatts());
        return new WorkerReport(
                message.getWorkerId(),
                message.getIncarnation(),
                message.getSequence(),
                resources(message.getCapacity()),
                message.getRack(),
                message.getFailureDomain(),
                message.getIdleMilliwatts(),
                message.getRunningList().stream().map(TaskCodec::running).toList(),
                message.getEndedList().stream().map(TaskCodec::ended).toList(),
                message.getUsageList().stream().map(TaskCodec::usage).toList());
    }

    /** Encodes a command for a worker. */
    public static TaskProto.WorkerCommand workerCommand(WorkerCommand command, String traceparent) {
        TaskProto.WorkerCommand.Builder builder =
                TaskProto.WorkerCommand.newBuilder().setTraceparent(traceparent);
        switch (command) {
            case WorkerCommand.Start start ->
                builder.setStart(TaskProto.StartTask.newBuilder()
                        .setJob(job(start.job()))
                        .setEpoch(start.epoch())
                        .setResumeCheckpointSequence(start.resumeCheckpoint())
                        .setThrottlePercent(start.speedPercent())
                        .setThrottleVersion(start.throttleVersion()));
            case WorkerCommand.Checkpoint checkpoint ->
                builder.setCheckpoint(TaskProto.CheckpointTask.newBuilder()
                        .setJobId(checkpoint.jobId())
                        .setEpoch(checkpoint.epoch()));
            case WorkerCommand.Throttle throttle ->
                builder.setThrottle(TaskProto.ThrottleTask.newBuilder()
                        .setJobId(throttle.jobId())
                        .setEpoch(throttle.epoch())
                        .setThrottlePercent(throttle.speedPercent())
                        .setThrottleVersion(throttle.throttleVersion()));
            case WorkerCommand.Stop stop ->
                builder.setStop(
                        TaskProto.StopTask.newBuilder().setJobId(stop.jobId()).setEpoch(stop.epoch()));
            case WorkerCommand.Acknowledge acknowledge ->
                builder.setAcknowledge(TaskProto.AcknowledgeEnd.newBuilder()
                        .setJobId(acknowledge.jobId())
                        .setEpoch(acknowledge.epoch()));
        }
        return builder.build();
    }

    /** Encodes what is known of a job. */
    public static TaskProto.JobStatus status(Task task) {
        TaskProto.JobStatus.Builder builder = TaskProto.JobStatus.newBuilder()
                .setJob(job(task.job()))
                .setState(task.phase().text())
                .setEpoch(task.epoch())
                .setWorkerId(task.workerId())
                .setCheckpointSequence(task.checkpoint());
        task.decisions().forEach(decision -> builder.addDecisions(decision(decision)));
        return builder.build();
    }

    /** Encodes what is known of a worker. */
    public static TaskProto.WorkerStatus status(Worker worker, long nowMillis) {
        TaskProto.WorkerStatus.Builder builder = TaskProto.WorkerStatus.newBuilder()
                .setWorkerId(worker.id())
                .setCapacity(resources(worker.capacity()))
                .setCommitted(resources(worker.allocated()))
                .setState(state(worker, nowMillis));
        worker.tasks().forEach(task -> builder.addJobIds(task.job().jobId()));
        worker.decisions().forEach(decision -> builder.addDecisions(decision(decision)));
        return builder.build();
    }

    /** Encodes a decision. */
    public static TaskProto.Decision decision(Decision decision) {
        return TaskProto.Decision.newBuilder()
                .setTimeUnixMillis(decision.timeMillis())
                .setWhat(decision.summary())
                .setRule(decision.rule())
                .setFigures(decision.details())
                .build();
    }

    /** Decodes a decision. */
    public static Decision decision(TaskProto.Decision message) {
        return new Decision(message.getTimeUnixMillis(), message.getWhat(), message.getRule(), message.getFigures());
    }

    static TaskProto.EndReason reason(TerminationReason reason) {
        return switch (reason) {
            case COMPLETED -> TaskProto.EndReason.COMPLETED;
            case STOPPED -> TaskProto.EndReason.STOPPED;
            case FAILED -> TaskProto.EndReason.FAILED;
            case LEASE_EXPIRED -> TaskProto.EndReason.LEASE_EXPIRED;
        };
    }

    static TerminationReason reason(TaskProto.EndReason message) {
        return switch (message) {
            case COMPLETED -> TerminationReason.COMPLETED;
            case STOPPED -> TerminationReason.STOPPED;
            case FAILED -> TerminationReason.FAILED;
            case LEASE_EXPIRED -> TerminationReason.LEASE_EXPIRED;
            case END_REASON_UNSPECIFIED, UNRECOGNIZED ->
                throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "reason of an ended task is missing");
        };
    }

    private static String state(Worker worker, long nowMillis) {
        if (!worker.isLive()) {
            return "lost";
        }
        if (worker.quarantinedUntilMillis() > nowMillis) {
            return "quarantined";
        }
        return worker.isOnProbation() ? "probation" : "live";
    }

    private static WorkerReport.Running running(TaskProto.RunningTask message) {
        return new WorkerReport.Running(
                message.getJobId(), message.getEpoch(), message.getThrottleVersion(), message.getCheckpointSequence());
    }

    private static WorkerReport.Terminated ended(TaskProto.EndedTask message) {
        checkLength("detail", message.getDetail(), MAX_NAME_LENGTH * 5);
        return new WorkerReport.Terminated(
                message.getJobId(),
                message.getEpoch(),
                reason(message.getReason()),
                message.getCheckpointSequence(),
                message.getDetail());
    }

    private static WorkerReport.Usage usage(TaskProto.Usage message) {
        return new WorkerReport.Usage(
                message.getJobId(),
                message.getEpoch(),
                message.getMeasuredUnixMillis(),
                clamp(message.getMillicores()),
                clamp(message.getMemoryMebibytes()),
                clamp(message.getPowerMilliwatts()),
                Math.max(0, message.getSlowdownThousandths()));
    }

    private static long clamp(long amount) {
        return Math.clamp(amount, 0, MAX_AMOUNT);
    }

    private static void checkName(String field, String value) {
        checkLength(field, value, MAX_NAME_LENGTH);
    }

    private static void checkLength(String field, String value, int limit) {
        if (value.length() > limit) {
            throw new NettleringException(
                    ErrorCode.INVALID_ARGUMENT, field + " is longer than " + limit + " characters");
        }
    }

    private static void checkAmount(String field, long value) {
        if (value < 0 || value > MAX_AMOUNT) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, field + " is out of range: " + value);
        }
    }
}
