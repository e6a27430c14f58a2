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
    public static final int KEPT_DECISIONS = 24;

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
    Resources commitment = Resources.NONE;

    /** The committed draw at full speed. */
    long powerMilliwatts;

    /** The speed that the committed draw counts. */
    int committedPercent = FULL_SPEED_PERCENT;

    /** The speed that was asked for. */
    int throttlePercent = FULL_SPEED_PERCENT;

    /** Raised by each change of the speed that was asked for; the worker reports back the one in force. */
    long throttleVersion;

    /** When the speed was last changed or confirmed. */
    long throttledMillis;

    /** The last recorded checkpoint. */
    long checkpoint;

    /** The checkpoint from which the present epoch started. */
    long resumedFrom;

    /** When the last checkpoint was recorded. */
    long checkpointMillis;

    /** When the last start was decided. */
    long startedMillis;

    /** When the current phase began. */
    long phaseMillis;

    /** How long it may take to write a checkpoint before it has to leave. */
    long graceMillis;

    /** How often it was evicted. */
    int evictions;

    /** How often it lost its worker. */
    int losses;

    /** Workers on which it failed. */
    final Set<String> failedOn = new LinkedHashSet<>();

    /** The latest decisions, the oldest first. */
    final Deque<Decision> decisions = new ArrayDeque<>();

    Task(JobSpecification job, String operationId, long submittedMillis) {
        this.job = job;
        this.operationId = operationId;
        this.submittedMillis = submittedMillis;
        this.phaseMillis = submittedMillis;
    }

    static Task from(TaskImage image) {
        Task task = new Task(image.job(), image.operationId(), image.submittedMillis());
        task.phase = image.phase();
        task.epoch = image.epoch();
        task.commitment = image.commitment();
        task.powerMilliwatts = image.powerMilliwatts();
        task.committedPercent = image.committedPercent();
        task.throttlePercent = image.throttlePercent();
        task.throttleVersion = image.throttleVersion();
        task.throttledMillis = image.throttledMillis();
        task.checkpoint = image.checkpoint();
        task.checkpointMillis = image.checkpointMillis();
        task.resumedFrom = image.resumedFrom();
        task.startedMillis = image.startedMillis();
        task.phaseMillis = image.phaseMillis();
        task.graceMillis = image.graceMillis();
        task.evictions = image.evictions();
        task.losses = image.losses();
        task.failedOn.addAll(image.failedOn());
        task.decisions.addAll(image.decisions());
        return task;
    }

    TaskImage image() {
        return new TaskImage(
                job,
                operationId,
                submittedMillis,
                phase,
                epoch,
                workerId(),
                commitment,
                powerMilliwatts,
                committedPercent,
                throttlePercent,
                throttleVersion,
                throttledMillis,
                checkpoint,
                checkpointMillis,
                resumedFrom,
                startedMillis,
                phaseMillis,
                graceMillis,
                evictions,
                losses,
                List.copyOf(failedOn),
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
    public Resources commitment() {
        return commitment;
    }

    /** Returns the committed draw at full speed. */
    public long fullPowerMilliwatts() {
        return powerMilliwatts;
    }

    /** Returns the draw that counts against the cap: the worst case at the speed that is proved to be in force. */
    public long committedMilliwatts() {
        return phase.isPlaced() ? scaled(powerMilliwatts, committedPercent) : 0;
    }

    /** Returns the speed that the committed draw counts, in percent. */
    public int committedPercent() {
        return committedPercent;
    }

    /** Returns the speed that was asked for, in percent. */
    public int throttlePercent() {
        return throttlePercent;
    }

    /** Returns the number of the last change of the speed that was asked for. */
    public long throttleVersion() {
        return throttleVersion;
    }

    /** Returns when the speed was last asked for or confirmed. */
    public long throttledMillis() {
        return throttledMillis;
    }

    /** Returns the checkpoint from which the present epoch started. */
    public long resumedFrom() {
        return resumedFrom;
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
    public long phaseMillis() {
        return phaseMillis;
    }

    /** Returns how long it may take to write a checkpoint before it has to leave. */
    public long graceMillis() {
        return graceMillis;
    }

    /** Returns how often it lost its worker. */
    public int losses() {
        return losses;
    }

    /** Returns how often it was evicted. */
    public int evictions() {
        return evictions;
    }

    /** Returns the workers on which it failed. */
    public Set<String> failedOn() {
        return Set.copyOf(failedOn);
    }

    /** Returns the latest decisions, the oldest first. */
    public List<Decision> decisions() {
        return List.copyOf(decisions);
    }

    /**
     * Returns the draw at a reduced speed.
     *
     * @param milliwatts the draw at full speed, not negative
     * @param percent the speed, from 0 to 100
     * @return the draw, rounded up
     */
    public static long scaled(long milliwatts, int percent) {
        return Math.ceilDiv(milliwatts * percent, FULL_SPEED_PERCENT);
    }

    void enter(TaskPhase next, long timeMillis) {
        phase = next;
        phaseMillis = timeMillis;
    }

    void explain(long timeMillis, String what, String rule, String figures) {
        if (decisions.size() == KEPT_DECISIONS) {
            decisions.removeFirst();
        }
        decisions.addLast(new Decision(timeMillis, what, rule, figures));
    }
}
