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
 * <p>Changed only by {@link TaskState}; readers hold the same lock as whoever applies commands. Not thread-safe.
 */
public final class Task {
    /** Full speed. */
    public static final int FULL_SPEED_PERCENT = 100;

    /** How many decisions are kept to explain a task. */
    public static final int MAX_DECISIONS = 24;

    /** What was submitted. */
    private final JobSpecification job;

    /** The operation that submitted it. */
    private final String operationId;

    /** When it was submitted. */
    private final long submittedMillis;

    /** Where it stands. */
    TaskPhase phase = TaskPhase.PENDING;

    /** The epoch of the last start, zero before the first. */
    long epoch;

    /** The worker it is committed to. */
    @Nullable
    Worker worker;

    /** What is committed on the worker. */
    Resources allocation = Resources.NONE;

    /** The committed draw at full speed. */
    long powerMilliwatts;

    /** The speed that the committed draw counts. */
    int allocatedSpeedPercent = FULL_SPEED_PERCENT;

    /** The speed that was asked for. */
    int requestedSpeedPercent = FULL_SPEED_PERCENT;

    /** Raised by each change of the speed that was asked for; the worker reports back the one in force. */
    long throttleVersion;

    /** When the speed was last changed or confirmed. */
    long speedChangedMillis;

    /** The last recorded checkpoint. */
    long checkpoint;

    /** The checkpoint from which the present epoch started. */
    long resumeCheckpoint;

    /** When the last checkpoint was recorded. */
    long checkpointMillis;

    /** When the last start was decided. */
    long startedMillis;

    /** When the current phase began. */
    long phaseStartMillis;

    /** How long it may take to write a checkpoint before it has to leave. */
    long graceMillis;

    /** How often it was evicted. */
    int evictions;

    /** How often it lost its worker. */
    int workerLosses;

    /** Workers on which it failed. */
    final Set<String> failedWorkerIds = new LinkedHashSet<>();

    /** The latest decisions, the oldest first. */
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

    /** Returns what was submitted. */
    public JobSpecification job() {
        return job;
    }

    /** Returns the operation that submitted it. */
    public String operationId() {
        return operationId;
    }

    /** Returns when it was submitted, in milliseconds since the epoch. */
    public long submittedMillis() {
        return submittedMillis;
    }

    /** Returns where it stands. */
    public TaskPhase phase() {
        return phase;
    }

    /** Returns the epoch of the last start, zero before the first. */
    public long epoch() {
        return epoch;
    }

    /** Returns the worker it is committed to, or null. */
    public @Nullable Worker worker() {
        return worker;
    }

    /** Returns the id of the worker it is committed to, empty if none. */
    public String workerId() {
        return worker == null ? "" : worker.id();
    }

    /** Returns what is committed on the worker; nothing while not placed. */
    public Resources allocation() {
        return allocation;
    }

    /** Returns the committed draw at full speed. */
    public long fullPowerMilliwatts() {
        return powerMilliwatts;
    }

    /** Returns the draw that counts against the cap: the worst case at the speed that is proved to be in force. */
    public long allocatedMilliwatts() {
        return phase.isPlaced() ? powerAtSpeed(powerMilliwatts, allocatedSpeedPercent) : 0;
    }

    /** Returns the speed that the committed draw counts, in percent. */
    public int allocatedSpeedPercent() {
        return allocatedSpeedPercent;
    }

    /** Returns the speed that was asked for, in percent. */
    public int requestedSpeedPercent() {
        return requestedSpeedPercent;
    }

    /** Returns the number of the last change of the speed that was asked for. */
    public long throttleVersion() {
        return throttleVersion;
    }

    /** Returns when the speed was last asked for or confirmed. */
    public long speedChangedMillis() {
        return speedChangedMillis;
    }

    /** Returns the checkpoint from which the present epoch started. */
    public long resumeCheckpoint() {
        return resumeCheckpoint;
    }

    /** Returns the last recorded checkpoint, zero if none. */
    public long checkpoint() {
        return checkpoint;
    }

    /** Returns when the last checkpoint was recorded, zero if none. */
    public long checkpointMillis() {
        return checkpointMillis;
    }

    /** Returns when the last start was decided. */
    public long startedMillis() {
        return startedMillis;
    }

    /** Returns when the current phase began. */
    public long phaseStartMillis() {
        return phaseStartMillis;
    }

    /** Returns how long it may take to write a checkpoint before it has to leave. */
    public long graceMillis() {
        return graceMillis;
    }

    /** Returns how often it lost its worker. */
    public int workerLosses() {
        return workerLosses;
    }

    /** Returns how often it was evicted. */
    public int evictions() {
        return evictions;
    }

    /** Returns the workers on which it failed. */
    public Set<String> failedWorkerIds() {
        return Set.copyOf(failedWorkerIds);
    }

    /** Returns the latest decisions, the oldest first. */
    public List<Decision> decisions() {
        return List.copyOf(decisions);
    }

    /**
     * Returns the draw at a reduced speed.
     *
     * @param milliwatts the draw at full speed, not negative
     * @param speedPercent the speed, from 0 to 100
     * @return the draw, rounded up
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
