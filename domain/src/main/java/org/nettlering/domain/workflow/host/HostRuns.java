package org.nettlering.domain.workflow.host;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.host.TrackedRun.Stage;

/**
 * The runs that may be active on one host, in the order in which they were tracked.
 *
 * <p>A run is tracked from the time when its start is known to be committed until its termination is. Not thread-safe.
 */
public final class HostRuns {
    private final Map<RunId, TrackedRun> runs = new LinkedHashMap<>();

    HostRuns() {}

    boolean isEmpty() {
        return runs.isEmpty();
    }

    /**
     * Returns how many runs are tracked.
     *
     * @return the number of runs whose termination is not committed
     */
    public int count() {
        return runs.size();
    }

    /**
     * Returns the runs that are tracked.
     *
     * @return a copy of their ids, never null
     */
    public Set<RunId> ids() {
        return Set.copyOf(runs.keySet());
    }

    /**
     * Returns whether a run is tracked.
     *
     * @param run the run, not null
     * @return true from the time when its start is known to be committed until its termination is
     */
    public boolean contains(RunId run) {
        return runs.containsKey(run);
    }

    /** Returns a run, or null if it is not tracked. */
    @Nullable
    TrackedRun get(RunId run) {
        return runs.get(run);
    }

    Stream<TrackedRun> stream() {
        return runs.values().stream();
    }

    /** Returns a copy of the runs. */
    Collection<TrackedRun> all() {
        return List.copyOf(runs.values());
    }

    /**
     * Returns the latest checkpoint of a run.
     *
     * @param run the run, not null
     * @return the checkpoint, empty if none is known, never null
     */
    public String checkpointOf(RunId run) {
        return find(run).map(tracked -> tracked.checkpoint).orElse("");
    }

    /**
     * Returns the evidence of the termination of a run.
     *
     * @param run the run, not null
     * @return the evidence, or empty if no termination was found or the run is no longer tracked, never null
     */
    public Optional<TerminationEvidence> evidenceOf(RunId run) {
        return find(run).flatMap(tracked -> Optional.ofNullable(tracked.evidence));
    }

    /**
     * Returns how long a run has been at work, if it has done the whole work of its task at full speed.
     *
     * @param run the run, not null
     * @param nowNanos the monotonic time
     * @return the time since its start, or empty if this leader did not start it, it resumed from a checkpoint or it was
     *     throttled, never null
     */
    public Optional<Duration> uninterruptedRunTime(RunId run, long nowNanos) {
        return find(run).flatMap(tracked -> tracked.uninterruptedRunTime(nowNanos));
    }

    private Optional<TrackedRun> find(RunId run) {
        return Optional.ofNullable(runs.get(run));
    }

    /**
     * Returns the terminations that were found and are not known to be committed.
     *
     * @return one for each tracked run whose termination was found, never null
     */
    public List<RecordTermination> uncommittedTerminations() {
        return stream()
                .flatMap(tracked -> Optional.ofNullable(tracked.termination).stream())
                .toList();
    }

    /**
     * Returns the unproven runs: those that the host may have started or is to start, and has not shown at
     * work for long enough to show that starting them does not crash it.
     *
     * @return the runs whose termination is not known, never null
     */
    public List<RunId> unproven() {
        return stream()
                .filter(TrackedRun::isUnproven)
                .map(tracked -> tracked.activeRun.run())
                .toList();
    }

    /**
     * Returns the usage of the active runs as of the last poll response.
     *
     * @return the runs that the host reported as running and that have neither a known termination nor a stop request,
     *     never null
     */
    public List<RunUsage> usages() {
        return stream()
                .filter(tracked -> tracked.reportedRunning && !tracked.isTerminationFound() && !tracked.stopRequested)
                .map(TrackedRun::toUsage)
                .toList();
    }

    /**
     * Has the host polled as soon as its response can show that starting a run does not crash the host: a crash that comes later
     * is not to be ascribed to the run.
     *
     * @param run the run, ignored if it is not tracked, not null
     */
    public void watch(RunId run) {
        find(run).ifPresent(TrackedRun::watch);
    }

    /** Returns how long to wait until a response can show that a watched run is harmless, empty if none is watched. */
    Optional<Duration> timeUntilProof(long nowNanos) {
        return stream()
                .flatMap(tracked -> tracked.timeUntilProof(nowNanos).stream())
                .min(Duration::compareTo);
    }

    /** Returns whether the outcome of a start is unknown. */
    boolean hasUnansweredStart() {
        return stream().anyMatch(tracked -> tracked.stage == Stage.START_UNANSWERED);
    }

    /** Returns the monotonic times at which stops fall due. */
    LongStream nextStopNanos() {
        return stream().map(TrackedRun::nextStopNanos).flatMapToLong(OptionalLong::stream);
    }

    /** Tracks a run that an earlier leader started and may have throttled. */
    void addInherited(ActiveRun run, boolean throttled, long nowNanos) {
        TrackedRun tracked = new TrackedRun(run, "", "", Stage.INHERITED, nowNanos);
        if (throttled) {
            tracked.markSpeedUnknown(nowNanos);
        }
        runs.put(run.run(), tracked);
    }

    /** Tracks a run whose start is committed, and has its start command sent next. */
    void addNew(ActiveRun run, String taskSpecification, String ticket, long nowNanos) {
        runs.put(run.run(), new TrackedRun(run, taskSpecification, ticket, Stage.START_PENDING, nowNanos));
    }

    /** Stops tracking a run; returns whether it was tracked. */
    boolean remove(RunId run) {
        return runs.remove(run) != null;
    }

    /** Stops tracking all other runs. */
    void retain(Set<RunId> activeRuns) {
        runs.keySet().retainAll(activeRuns);
    }

    /**
     * Requests that a run be stopped.
     *
     * @param run the run, ignored if it is not tracked, not null
     * @return true if the run is tracked and its stop was not requested before
     */
    public boolean requestStop(RunId run) {
        TrackedRun tracked = runs.get(run);
        if (tracked == null || tracked.stopRequested) {
            return false;
        }
        tracked.stopRequested = true;
        return true;
    }

    /** Ends the runs as never begun whose start commands have not been passed on. */
    public void withdrawUnsent() {
        stream()
                .filter(tracked -> tracked.stage == Stage.START_PENDING)
                .forEach(tracked -> tracked.stopRequested = true);
    }

    /**
     * Sets the speed to which a run is throttled.
     *
     * @param run the run, ignored if it is not tracked, not null
     * @param speedPercent the share of full speed, 0 to 100; 100 is unthrottled
     */
    public void setSpeed(RunId run, int speedPercent) {
        find(run).ifPresent(tracked -> tracked.setDesiredSpeed(speedPercent));
    }

    /**
     * Returns the start, stop and throttle commands that are due, and treats them as sent.
     *
     * @param startable whether starts may be sent
     */
    List<HostCommand> takeDueCommands(
            long token, HostLease lease, boolean startable, boolean unresponsive, long nowNanos) {
        List<HostCommand> due = new ArrayList<>();
        for (TrackedRun tracked : runs.values()) {
            tracked.takeDueCommand(token, lease, startable, unresponsive, nowNanos)
                    .ifPresent(due::add);
        }
        return due;
    }

    /** Has the requested stops sent again, because the incarnation that acknowledged them has terminated. */
    void forgetStopAcknowledgements(long nowNanos) {
        stream().forEach(tracked -> tracked.forgetStopAcknowledgement(nowNanos));
    }

    /**
     * Returns what this session knows of each run that may be active on the host.
     *
     * @return the runs in the order in which they were tracked, for logs only, never null
     */
    public List<TrackedRunStatus> statuses() {
        return stream().map(TrackedRun::status).toList();
    }
}
