package org.nettlering.domain.interference;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.configuration.Interruption;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.profile.Profiles;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskPhase;
import org.nettlering.domain.task.TaskState;
import org.nettlering.domain.task.Worker;

/**
 * Throttles or evicts batch tasks that slow down a service on the same worker.
 *
 * <ul>
 *   <li>Tasks are throttled first; one is evicted only when none that slows down the service can be throttled further.
 *   <li>After each action, only measurements <i>taken</i> after the action took effect count, however late they arrive.
 *   <li>The speed of a task is raised again only after a number of consecutive low samples. To avoid oscillation, this
 *       number doubles each time the slowdown recurs soon after the speed was raised.
 * </ul>
 *
 * <p>Not thread-safe.
 */
public final class InterferenceController {
    /** The smoothed slowdown above which tasks are throttled or evicted, in thousandths; 1000 is no slowdown. */
    static final int HIGH_SLOWDOWN_THOUSANDTHS = 1_200;

    /** The smoothed slowdown below which the speed of tasks may be raised again, in thousandths. */
    static final int LOW_SLOWDOWN_THOUSANDTHS = 1_100;

    /** The number of consecutive high samples that trigger an action. */
    private static final int HIGH_SAMPLES_TO_ACT = 2;

    /** The initial number of consecutive low samples before the speed is raised. */
    private static final int INITIAL_LOW_SAMPLES_TO_RELEASE = 10;

    private static final int MAXIMUM_LOW_SAMPLES_TO_RELEASE = 160;

    /** The time until an action can be measured: a report interval and the time that the worker needs to apply it. */
    private static final long ACTION_DELAY_MILLIS = 2_000;

    private static final int MINIMUM_SPEED_PERCENT = 25;

    /** The time that an evicted task gets to write its checkpoint. */
    private static final long EVICTION_GRACE_MILLIS = 10_000;

    /** The weight of the latest sample in the smoothed slowdown. */
    private static final double SMOOTHING_FACTOR = 0.4;

    /** The state of each worker that was measured, by id. */
    private final Map<String, WorkerState> workerStates = new HashMap<>();

    /** The workers that were measured since the last decisions. */
    private Set<String> measuredWorkers = new LinkedHashSet<>();

    private final PairwiseInterferenceModel model;

    /**
     * Creates a controller.
     *
     * @param model the model that predicts the slowdown caused by each batch task, not null
     * @return a new controller, never null
     */
    public static InterferenceController of(PairwiseInterferenceModel model) {
        return new InterferenceController(model);
    }

    private InterferenceController(PairwiseInterferenceModel model) {
        this.model = model;
    }

    /**
     * Records a measurement of a worker; ignored if it has no service or is not newer than the previous one.
     *
     * @param workerId the id of the worker, not null
     * @param measurement the measurement, not null
     */
    public void recordMeasurement(String workerId, WorkerMeasurement measurement) {
        WorkerState workerState = workerStates.computeIfAbsent(workerId, id -> new WorkerState());
        int highestSlowdown = measurement.services().stream()
                .mapToInt(WorkerMeasurement.MeasuredTask::slowdownThousandths)
                .max()
                .orElse(0);
        if (highestSlowdown == 0 || measurement.measuredMillis() <= workerState.lastMeasuredMillis) {
            return;
        }
        workerState.addSample(highestSlowdown, measurement.measuredMillis());
        measuredWorkers.add(workerId);
    }

    /**
     * Returns whether a service on a worker is slowed down, so that the worker should get no further batch tasks.
     *
     * @param workerId the id of the worker, not null
     * @return true while the smoothed slowdown is above {@link #LOW_SLOWDOWN_THOUSANDTHS} and either the last sample
     *     was high or the speed has not been raised since the last action
     */
    public boolean isServiceSlowed(String workerId) {
        WorkerState workerState = workerStates.get(workerId);
        return workerState != null
                && workerState.smoothedSlowdown > LOW_SLOWDOWN_THOUSANDTHS
                && (workerState.actionInForce || workerState.consecutiveHighSamples > 0);
    }

    /**
     * Returns whether the speed of a throttled task on a worker may be raised again.
     *
     * @param workerId the id of the worker, not null
     * @return true when the worker was never measured, or had enough consecutive low samples
     */
    public boolean mayRaiseSpeed(String workerId) {
        WorkerState workerState = workerStates.get(workerId);
        return workerState == null || workerState.consecutiveLowSamples >= workerState.lowSamplesToRelease;
    }

    /**
     * Records that the speed of a task on a worker was raised.
     *
     * @param workerId the id of the worker, not null
     * @param nowMillis the wall clock of the leader, in milliseconds since the epoch
     */
    public void recordSpeedRaised(String workerId, long nowMillis) {
        WorkerState workerState = workerStates.get(workerId);
        if (workerState != null) {
            workerState.recordRelease(nowMillis);
        }
    }

    /**
     * Decides which tasks to throttle or evict on the workers that were measured since the last call.
     *
     * @param state the replicated state, not null
     * @param configuration the current configuration, not null
     * @param nowMillis the wall clock of the leader, in milliseconds since the epoch
     * @return at most one command per worker, never null
     */
    public List<TaskCommand> decideActions(TaskState state, SiteConfiguration configuration, long nowMillis) {
        List<TaskCommand> commands = new ArrayList<>();
        for (String workerId : measuredWorkers) {
            WorkerState workerState = workerStates.get(workerId);
            Optional<Worker> worker = state.worker(workerId);
            if (workerState == null || worker.isEmpty() || !workerState.shouldAct()) {
                continue;
            }
            decideAction(worker.get(), configuration, workerState, nowMillis).ifPresent(command -> {
                workerState.recordAction(nowMillis);
                commands.add(command);
            });
        }
        measuredWorkers = new LinkedHashSet<>();
        return commands;
    }

    private Optional<TaskCommand> decideAction(
            Worker worker, SiteConfiguration configuration, WorkerState workerState, long nowMillis) {
        String figures = "slowdown " + Math.round(workerState.smoothedSlowdown) + " thousandths, limit "
                + HIGH_SLOWDOWN_THOUSANDTHS;
        Task throttleTarget = findMostInterfering(worker, configuration, false);
        if (throttleTarget != null) {
            int percent = Math.max(MINIMUM_SPEED_PERCENT, throttleTarget.requestedSpeedPercent() / 2);
            return Optional.of(new TaskCommand.Throttle(
                    nowMillis,
                    throttleTarget.job().jobId(),
                    throttleTarget.epoch(),
                    percent,
                    "disturbs a service",
                    figures));
        }
        Task evictionTarget = findMostInterfering(worker, configuration, true);
        if (evictionTarget != null) {
            return Optional.of(new TaskCommand.Evict(
                    nowMillis,
                    evictionTarget.job().jobId(),
                    evictionTarget.epoch(),
                    EVICTION_GRACE_MILLIS,
                    "disturbs a service at the lowest speed",
                    figures));
        }
        return Optional.empty();
    }

    /**
     * Returns the eligible batch task with the highest predicted slowdown of more urgent services, or null if no
     * eligible task contributes.
     */
    private @Nullable Task findMostInterfering(Worker worker, SiteConfiguration configuration, boolean forEviction) {
        List<Task> services = new ArrayList<>();
        for (Task task : worker.tasks()) {
            if (task.job().serviceTask()) {
                services.add(task);
            }
        }
        Task mostInterfering = null;
        double highestContribution = 0;
        for (Task task : worker.tasks()) {
            if (!isEligible(task, configuration, forEviction)) {
                continue;
            }
            double contribution = 0;
            for (Task service : services) {
                if (Profiles.urgency(configuration, service.job()) > Profiles.urgency(configuration, task.job())) {
                    contribution += predictContribution(service, task);
                }
            }
            if (contribution > highestContribution) {
                highestContribution = contribution;
                mostInterfering = task;
            }
        }
        return mostInterfering;
    }

    private double predictContribution(Task service, Task task) {
        double processors = task.allocation().millicores() / 1000.0 * task.requestedSpeedPercent() / 100;
        return model.predict(
                service.job().workClass(),
                new PairwiseInterferenceModel.Neighbor(task.job().workClass(), processors));
    }

    private static boolean isEligible(Task task, SiteConfiguration configuration, boolean forEviction) {
        if (task.job().serviceTask() || task.phase() != TaskPhase.RUNNING) {
            return false;
        }
        Interruption interruption = Profiles.interruption(configuration, task.job());
        return forEviction
                ? interruption == Interruption.EVICT
                : interruption != Interruption.NEVER && task.requestedSpeedPercent() > MINIMUM_SPEED_PERCENT;
    }

    private static final class WorkerState {
        private long lastMeasuredMillis;

        /** Measurements taken before this time do not show the effect of the last action and are ignored. */
        private long effectiveFromMillis;

        /** The smoothed highest slowdown of the services, in thousandths. */
        private double smoothedSlowdown = 1_000;

        /** The consecutive high samples since the last action or raise took effect. */
        private int consecutiveHighSamples;

        /** The consecutive low samples since the last action or raise took effect. */
        private int consecutiveLowSamples;

        /** The consecutive low samples that are required before the speed is raised. */
        private int lowSamplesToRelease = INITIAL_LOW_SAMPLES_TO_RELEASE;

        /** The time at which the speed of a task was last raised, zero if never. */
        private long releasedMillis;

        /** True when the speed was not raised since the last action. */
        private boolean actionInForce;

        private void addSample(int slowdownThousandths, long measuredMillis) {
            lastMeasuredMillis = measuredMillis;
            if (measuredMillis < effectiveFromMillis) {
                return;
            }
            smoothedSlowdown += SMOOTHING_FACTOR * (slowdownThousandths - smoothedSlowdown);
            boolean isHigh =
                    slowdownThousandths > HIGH_SLOWDOWN_THOUSANDTHS && smoothedSlowdown > HIGH_SLOWDOWN_THOUSANDTHS;
            consecutiveHighSamples = isHigh ? consecutiveHighSamples + 1 : 0;
            consecutiveLowSamples = smoothedSlowdown < LOW_SLOWDOWN_THOUSANDTHS ? consecutiveLowSamples + 1 : 0;
        }

        private boolean shouldAct() {
            return consecutiveHighSamples >= HIGH_SAMPLES_TO_ACT;
        }

        private void recordAction(long nowMillis) {
            boolean isRecurring = releasedMillis > 0 && nowMillis - releasedMillis < 60_000;
            lowSamplesToRelease = isRecurring
                    ? Math.min(MAXIMUM_LOW_SAMPLES_TO_RELEASE, 2 * lowSamplesToRelease)
                    : Math.max(INITIAL_LOW_SAMPLES_TO_RELEASE, lowSamplesToRelease);
            discardSamplesBeforeEffect(nowMillis);
            actionInForce = true;
        }

        private void recordRelease(long nowMillis) {
            releasedMillis = nowMillis;
            discardSamplesBeforeEffect(nowMillis);
            actionInForce = false;
        }

        private void discardSamplesBeforeEffect(long nowMillis) {
            effectiveFromMillis = nowMillis + ACTION_DELAY_MILLIS;
            consecutiveHighSamples = 0;
            consecutiveLowSamples = 0;
        }
    }
}
