package org.nettlering.standins.worker;

import org.nettlering.wire.proto.TaskProto.JobSpecification;
import org.nettlering.wire.proto.TaskProto.RunningTask;
import org.nettlering.wire.proto.TaskProto.StartTask;
import org.nettlering.wire.proto.TaskProto.ThrottleTask;

/**
 * One task that a worker stand-in runs, with its progress.
 *
 * <p>Progress is counted in milliseconds of the job's declared run time; a task throttled to half speed makes half the
 * progress. The sequence of a checkpoint is the progress that it holds. Not thread-safe; {@link WorkerTasks} guards it.
 */
final class RunningWork {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int FULL_SPEED_PERCENT = 100;

    /** What runs. */
    private final JobSpecification job;

    /** The lease epoch. */
    private final long epoch;

    /** The progress up to {@link #countedNanos}, in nanoseconds of full speed. */
    private long progressNanos;

    /** Up to when the progress is counted. */
    private long countedNanos;

    /** The present speed. */
    private int throttlePercent;

    /** The progress of the last checkpoint in milliseconds. */
    private long checkpointSequence;

    /** The version of the last throttle that is in force. */
    private long throttleVersion;

    RunningWork(StartTask start, long nowNanos) {
        this.job = start.getJob();
        this.epoch = start.getEpoch();
        this.progressNanos = start.getResumeCheckpointSequence() * NANOS_PER_MILLI;
        this.checkpointSequence = start.getResumeCheckpointSequence();
        this.throttlePercent = speedOf(start.getThrottlePercent());
        this.throttleVersion = start.getThrottleVersion();
        this.countedNanos = nowNanos;
    }

    JobSpecification job() {
        return job;
    }

    long epoch() {
        return epoch;
    }

    long checkpointSequence() {
        return checkpointSequence;
    }

    /** Returns the power that the task draws at its present speed. */
    long milliwatts() {
        return job.getPowerMilliwatts() * throttlePercent / FULL_SPEED_PERCENT;
    }

    /** Returns the cores that the task uses at its present speed. */
    long millicores() {
        return job.getDeclared().getMillicores() * throttlePercent / FULL_SPEED_PERCENT;
    }

    RunningTask toMessage() {
        return RunningTask.newBuilder()
                .setJobId(job.getJobId())
                .setEpoch(epoch)
                .setThrottlePercent(throttlePercent)
                .setCheckpointSequence(checkpointSequence)
                .setThrottleVersion(throttleVersion)
                .build();
    }

    /** Counts the progress up to now and tells whether the task is complete. */
    boolean isCompleteAt(long nowNanos) {
        progressNanos += (nowNanos - countedNanos) * throttlePercent / FULL_SPEED_PERCENT;
        countedNanos = nowNanos;
        return !job.getServiceTask() && progressNanos >= job.getDeclaredRunTimeMillis() * NANOS_PER_MILLI;
    }

    void checkpoint(long nowNanos) {
        if (!isCompleteAt(nowNanos)) {
            checkpointSequence = Math.max(checkpointSequence, progressNanos / NANOS_PER_MILLI);
        }
    }

    /** Changes the speed, unless a later version of the command is in force. */
    void throttle(ThrottleTask command, long nowNanos) {
        if (command.getThrottleVersion() < throttleVersion || isCompleteAt(nowNanos)) {
            return;
        }
        throttlePercent = speedOf(command.getThrottlePercent());
        throttleVersion = command.getThrottleVersion();
    }

    private static int speedOf(int percent) {
        return percent <= 0 || percent > FULL_SPEED_PERCENT ? FULL_SPEED_PERCENT : percent;
    }
}
