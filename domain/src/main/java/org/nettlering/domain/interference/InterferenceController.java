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
 * Slows down or evicts batch tasks beside a service that is measured to suffer.
 *
 * <p>Throttles first, and evicts only what is already at its lowest speed. After each step it waits for measurements that
 * were *taken* after the step took effect, however late they are heard. A step is taken back only after the service was calm
 * for a while, and for twice as long each time it had to be taken again, so that it does not oscillate. Not thread-safe.
 */
public final class InterferenceController {
    /** The smoothed slowdown above which a step is taken, in thousandths. */
    static final int HIGH_SLOWDOWN_THOUSANDTHS = 1_200;

    /** The smoothed slowdown below which a step may be taken back, in thousandths. */
    static final int LOW_SLOWDOWN_THOUSANDTHS = 1_100;

    /** Samples in a row that have to be high. */
    private static final int HIGH_SAMPLES_TO_ACT = 2;

    /** Samples in a row that have to be low before a step is first taken back. */
    private static final int INITIAL_LOW_SAMPLES_TO_RELEASE = 10;

    /** The most samples that have to be low. */
    private static final int MAXIMUM_LOW_SAMPLES_TO_RELEASE = 160;

    /** How long a step takes until it can be measured: a report interval and the worker's own work. */
    private static final long ACTION_DELAY_MILLIS = 2_000;

    /** The lowest speed, in percent. */
    private static final int MINIMUM_SPEED_PERCENT = 25;

    /** How long an evicted task may take to write its checkpoint. */
    private static final long EVICTION_GRACE_MILLIS = 10_000;

    /** How much the latest sample counts. */
    private static final double SMOOTHING_FACTOR = 0.4;

    /** What is known of each worker that runs a service. */
    private final Map<String, WorkerState> workerStates = new HashMap<>();

    /** Workers whose measurements are to be looked at. */
    private Set<String> measuredWorkers = new LinkedHashSet<>();

    /** Predicts what each task contributes. */
    private final PairwiseInterferenceModel model;

    /**
     * Returns a guard that rests on a model.
     *
     * @param model predicts what each batch task contributes, not null
     * @return a new guard, never null
     */
    public static InterferenceController of(PairwiseInterferenceModel model) {
        return new InterferenceController(model);
    }

    private InterferenceController(PairwiseInterferenceModel model) {
        this.model = model;
    }

    /**
     * Takes in what was measured on a worker.
     *
     * @param workerId the worker, not null
     * @param measurement the measurement, not null
     */
    public void recordMeasurement(String workerId, WorkerMeasurement measurement) {
        WorkerState workerState = workerStates.computeIfAbsent(workerId, id -> new WorkerState());
        int worst = measurement.services().stream()
                .mapToInt(WorkerMeasurement.MeasuredTask::slowdownThousandths)
                .max()
                .orElse(0);
        if (worst == 0 || measurement.measuredMillis() <= workerState.lastMeasuredMillis) {
            return;
        }
        workerState.addSample(worst, measurement.measuredMillis());
        measuredWorkers.add(workerId);
    }

    /**
     * Tells whether a worker's service suffers now, so that it should get no further batch task.
     *
     * @param workerId the worker, not null
     * @return true while the smoothed slowdown is above the lower limit and a step was taken
     */
    public boolean isServiceSlowed(String workerId) {
        WorkerState workerState = workerStates.get(workerId);
        return workerState != null
                && workerState.smoothedSlowdown > LOW_SLOWDOWN_THOUSANDTHS
                && (workerState.actionInForce || workerState.consecutiveHighSamples > 0);
    }

    /**
     * Tells whether a throttled task beside a service may be sped up again.
     *
     * @param workerId the worker, not null
     * @return true when it runs no service that was measured, or the service was calm for long enough
     */
    public boolean mayRaiseSpeed(String workerId) {
        WorkerState workerState = workerStates.get(workerId);
        return workerState == null || workerState.consecutiveLowSamples >= workerState.lowSamplesToRelease;
    }

    /**
     * Notes that a task on a worker was sped up again.
     *
     * @param workerId the worker, not null
     * @param nowMillis the leader's wall clock
     */
    public void recordSpeedRaised(String workerId, long nowMillis) {
        WorkerState workerState = workerStates.get(workerId);
        if (workerState != null) {
            workerState.recordRelease(nowMillis);
        }
    }

    /**
     * Decides on the next steps for the workers that were measured since the last call.
     *
     * @param state the replicated state, not null
     * @param configuration the configuration in force, not null
     * @param nowMillis the leader's wall clock
     * @return at most one command a worker, never null
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

    /** Finds the task that contributes most among those that may be throttled further, or evicted. */
    private @Nullable Task findMostInterfering(Worker worker, SiteConfiguration configuration, boolean forEviction) {
        List<Task> services = new ArrayList<>();
        for (Task task : worker.tasks()) {
            if (task.job().serviceTask()) {
                services.add(task);
            }
        }
        Task worst = null;
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
                worst = task;
            }
        }
        return worst;
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

    /** What is known of one worker. */
    private static final class WorkerState {
        /** When the latest measurement was taken. */
        private long lastMeasuredMillis;

        /** Measurements taken before this moment say nothing about the last step. */
        private long effectiveFromMillis;

        /** The smoothed slowdown. */
        private double smoothedSlowdown = 1_000;

        /** High samples in a row since the last step settled. */
        private int consecutiveHighSamples;

        /** Low samples in a row since the last step settled. */
        private int consecutiveLowSamples;

        /** Low samples that are needed before a step is taken back. */
        private int lowSamplesToRelease = INITIAL_LOW_SAMPLES_TO_RELEASE;

        /** When a step was last taken back. */
        private long releasedMillis;

        /** Whether a step was taken that was not taken back. */
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
