package org.nettlering.domain.task;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * A job in the replicated state.
 *
 * <p>Modified only by {@link TaskState}. Not thread-safe: readers must hold the lock under which commands are applied.
 */
public final class Task {
    /** The speed of an unthrottled task. */
    public static final int FULL_SPEED_PERCENT = 100;

    /** The number of most recent decisions that are retained per task. */
    public static final int MAX_DECISIONS = 24;

    private final JobSpecification job;

    private final String operationId;

    private final long submittedMillis;

    TaskPhase phase = TaskPhase.PENDING;

    /** The epoch of the last start, 0 before the first. */
    long epoch;

    /** The worker on which the task is placed, or null. */
    @Nullable
    Worker worker;

    /** The resources allocated on the worker. */
    Resources allocation = Resources.NONE;

    /** The allocated power at full speed. */
    long powerMilliwatts;

    /** The speed for which power is allocated; at least the speed in force on the worker. */
    int allocatedSpeedPercent = FULL_SPEED_PERCENT;

    /** The speed last requested by a start or throttle command. */
    int requestedSpeedPercent = FULL_SPEED_PERCENT;

    /** Incremented with each requested speed; the worker reports the version in force. */
    long throttleVersion;

    /** Time at which the speed was last requested or confirmed. */
    long speedChangedMillis;

    long checkpoint;

    /** The checkpoint from which the current epoch started. */
    long resumeCheckpoint;

    long checkpointMillis;

    long startedMillis;

    long phaseStartMillis;

    /** Time allowed for writing a checkpoint before the task is stopped. */
    long graceMillis;

    int evictions;

    /** Number of times the task was lost with its worker. */
    int workerLosses;

    final Set<String> failedWorkerIds = new LinkedHashSet<>();

    /** The most recent decisions, oldest first. */
    final Deque<Decision> decisions = new ArrayDeque<>();

    Task(JobSpecification job, String operationId, long submittedMillis) {
        this.job = job;
        this.operationId = operationId;
        this.submittedMillis = submittedMillis;
        this.phaseStartMillis = submittedMillis;
    }

    static Task fromSnapshot(StoredTask stored) {
        Task task = new Task(stored.job(), stored.operationId(), stored.submittedMillis());
        task.phase = stored.phase();
        task.epoch = stored.epoch();
        task.allocation = stored.allocation();
        task.powerMilliwatts = stored.powerMilliwatts();
        task.allocatedSpeedPercent = stored.allocatedSpeedPercent();
        task.requestedSpeedPercent = stored.requestedSpeedPercent();
        task.throttleVersion = stored.throttleVersion();
        task.speedChangedMillis = stored.speedChangedMillis();
        task.checkpoint = stored.checkpoint();
        task.checkpointMillis = stored.checkpointMillis();
        task.resumeCheckpoint = stored.resumeCheckpoint();
        task.startedMillis = stored.startedMillis();
        task.phaseStartMillis = stored.phaseStartMillis();
        task.graceMillis = stored.graceMillis();
        task.evictions = stored.evictions();
        task.workerLosses = stored.workerLosses();
        task.failedWorkerIds.addAll(stored.failedWorkerIds());
        task.decisions.addAll(stored.decisions());
        return task;
    }

    StoredTask snapshot() {
        return new StoredTask(
                job,
                operationId,
                submittedMillis,
                phase,
                epoch,
                workerId(),
                allocation,
                powerMilliwatts,
                allocatedSpeedPercent,
                requestedSpeedPercent,
                throttleVersion,
                speedChangedMillis,
                checkpoint,
                checkpointMillis,
                resumeCheckpoint,
                startedMillis,
                phaseStartMillis,
                graceMillis,
                evictions,
                workerLosses,
                List.copyOf(failedWorkerIds),
                decisions());
    }

    /** Returns the submitted specification. */
    public JobSpecification job() {
        return job;
    }

    /** Returns the id of the operation that submitted the job. */
    public String operationId() {
        return operationId;
    }

    /** Returns the time of submission, in milliseconds since the epoch. */
    public long submittedMillis() {
        return submittedMillis;
    }

    /** Returns the current phase. */
    public TaskPhase phase() {
        return phase;
    }

    /** Returns the epoch of the last start, 0 before the first. */
    public long epoch() {
        return epoch;
    }

    /** Returns the worker on which the task is placed, or null. */
    public @Nullable Worker worker() {
        return worker;
    }

    /** Returns the id of the worker on which the task is placed, empty if none. */
    public String workerId() {
        return worker == null ? "" : worker.id();
    }

    /** Returns the resources allocated on the worker; {@link Resources#NONE} if not placed. */
    public Resources allocation() {
        return allocation;
    }

    /** Returns the allocated power at full speed, in milliwatts. */
    public long fullPowerMilliwatts() {
        return powerMilliwatts;
    }

    /** Returns the power that counts against the cap: the maximum at the allocated speed; 0 if not placed. */
    public long allocatedMilliwatts() {
        return phase.isPlaced() ? powerAtSpeed(powerMilliwatts, allocatedSpeedPercent) : 0;
    }

    /** Returns the speed for which power is allocated, in percent of full speed. */
    public int allocatedSpeedPercent() {
        return allocatedSpeedPercent;
    }

    /** Returns the last requested speed, in percent of full speed. */
    public int requestedSpeedPercent() {
        return requestedSpeedPercent;
    }

    /** Returns the version of the last requested speed. */
    public long throttleVersion() {
        return throttleVersion;
    }

    /** Returns the time at which the speed was last requested or confirmed, in milliseconds since the epoch. */
    public long speedChangedMillis() {
        return speedChangedMillis;
    }

    /** Returns the checkpoint from which the current epoch started. */
    public long resumeCheckpoint() {
        return resumeCheckpoint;
    }

    /** Returns the last recorded checkpoint, 0 if none. */
    public long checkpoint() {
        return checkpoint;
    }

    /** Returns the time of the last recorded checkpoint, in milliseconds since the epoch, 0 if none. */
    public long checkpointMillis() {
        return checkpointMillis;
    }

    /** Returns the time of the last start command, in milliseconds since the epoch. */
    public long startedMillis() {
        return startedMillis;
    }

    /** Returns the time at which the current phase started, in milliseconds since the epoch. */
    public long phaseStartMillis() {
        return phaseStartMillis;
    }

    /** Returns the time allowed for writing a checkpoint before the task is stopped, in milliseconds. */
    public long graceMillis() {
        return graceMillis;
    }

    /** Returns the number of times the task was lost with its worker. */
    public int workerLosses() {
        return workerLosses;
    }

    /** Returns the number of evictions. */
    public int evictions() {
        return evictions;
    }

    /** Returns the ids of the workers on which the task failed. */
    public Set<String> failedWorkerIds() {
        return Set.copyOf(failedWorkerIds);
    }

    /** Returns the most recent decisions, oldest first. */
    public List<Decision> decisions() {
        return List.copyOf(decisions);
    }

    /**
     * Returns the power at a reduced speed.
     *
     * @param milliwatts the power at full speed, not negative
     * @param speedPercent the speed in percent of full speed, from 0 to 100
     * @return the power in milliwatts, rounded up
     */
    public static long powerAtSpeed(long milliwatts, int speedPercent) {
        return Math.ceilDiv(milliwatts * speedPercent, FULL_SPEED_PERCENT);
    }

    void enterPhase(TaskPhase newPhase, long timeMillis) {
        phase = newPhase;
        phaseStartMillis = timeMillis;
    }

    void recordDecision(long timeMillis, String summary, String rule, String details) {
        if (decisions.size() == MAX_DECISIONS) {
            decisions.removeFirst();
        }
        decisions.addLast(new Decision(timeMillis, summary, rule, details));
    }
}
