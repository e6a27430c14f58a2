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
public final class InterferenceGuard {
    /** The smoothed slowdown above which a step is taken, in thousandths. */
    static final int HIGH_THOUSANDTHS = 1_200;

    /** The smoothed slowdown below which a step may be taken back, in thousandths. */
    static final int LOW_THOUSANDTHS = 1_100;

    /** Samples in a row that have to be high. */
    private static final int SAMPLES_TO_ACT = 2;

    /** Samples in a row that have to be low before a step is first taken back. */
    private static final int FIRST_SAMPLES_TO_RELEASE = 10;

    /** The most samples that have to be low. */
    private static final int MOST_SAMPLES_TO_RELEASE = 160;

    /** How long a step takes until it can be measured: a report interval and the worker's own work. */
    private static final long SETTLE_MILLIS = 2_000;

    /** The lowest speed, in percent. */
    private static final int LOWEST_SPEED_PERCENT = 25;

    /** How long an evicted task may take to write its checkpoint. */
    private static final long GRACE_MILLIS = 10_000;

    /** How much the latest sample counts. */
    private static final double SMOOTHING = 0.4;

    /** What is known of each worker that runs a service. */
    private final Map<String, Watch> watches = new HashMap<>();

    /** Workers whose measurements are to be looked at. */
    private Set<String> measured = new LinkedHashSet<>();

    /** Predicts what each task contributes. */
    private final InterferenceModel model;

    /**
     * Returns a guard that rests on a model.
     *
     * @param model predicts what each batch task contributes, not null
     * @return a new guard, never null
     */
    public static InterferenceGuard of(InterferenceModel model) {
        return new InterferenceGuard(model);
    }

    private InterferenceGuard(InterferenceModel model) {
        this.model = model;
    }

    /**
     * Takes in what was measured on a worker.
     *
     * @param workerId the worker, not null
     * @param measurement the measurement, not null
     */
    public void observe(String workerId, WorkerMeasurement measurement) {
        Watch watch = watches.computeIfAbsent(workerId, id -> new Watch());
        int worst = measurement.services().stream()
                .mapToInt(WorkerMeasurement.MeasuredTask::slowdownThousandths)
                .max()
                .orElse(0);
        if (worst == 0 || measurement.measuredMillis() <= watch.lastMeasuredMillis) {
            return;
        }
        watch.add(worst, measurement.measuredMillis());
        measured.add(workerId);
    }

    /**
     * Tells whether a worker's service suffers now, so that it should get no further batch task.
     *
     * @param workerId the worker, not null
     * @return true while the smoothed slowdown is above the lower limit and a step was taken
     */
    public boolean isTroubled(String workerId) {
        Watch watch = watches.get(workerId);
        return watch != null && watch.smoothed > LOW_THOUSANDTHS && (watch.acted || watch.highInARow > 0);
    }

    /**
     * Tells whether a throttled task beside a service may be sped up again.
     *
     * @param workerId the worker, not null
     * @return true when it runs no service that was measured, or the service was calm for long enough
     */
    public boolean isCalm(String workerId) {
        Watch watch = watches.get(workerId);
        return watch == null || watch.lowInARow >= watch.samplesToRelease;
    }

    /**
     * Notes that a task on a worker was sped up again.
     *
     * @param workerId the worker, not null
     * @param nowMillis the leader's wall clock
     */
    public void released(String workerId, long nowMillis) {
        Watch watch = watches.get(workerId);
        if (watch != null) {
            watch.release(nowMillis);
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
    public List<TaskCommand> steps(TaskState state, SiteConfiguration configuration, long nowMillis) {
        List<TaskCommand> commands = new ArrayList<>();
        for (String workerId : measured) {
            Watch watch = watches.get(workerId);
            Optional<Worker> worker = state.worker(workerId);
            if (watch == null || worker.isEmpty() || !watch.mustAct()) {
                continue;
            }
            step(worker.get(), configuration, watch, nowMillis).ifPresent(command -> {
                watch.act(nowMillis);
                commands.add(command);
            });
        }
        measured = new LinkedHashSet<>();
        return commands;
    }

    private Optional<TaskCommand> step(Worker worker, SiteConfiguration configuration, Watch watch, long nowMillis) {
        String figures = "slowdown " + Math.round(watch.smoothed) + " thousandths, limit " + HIGH_THOUSANDTHS;
        Task slower = worst(worker, configuration, false);
        if (slower != null) {
            int percent = Math.max(LOWEST_SPEED_PERCENT, slower.requestedSpeedPercent() / 2);
            return Optional.of(new TaskCommand.Throttle(
                    nowMillis, slower.job().jobId(), slower.epoch(), percent, "disturbs a service", figures));
        }
        Task leaving = worst(worker, configuration, true);
        if (leaving != null) {
            return Optional.of(new TaskCommand.Evict(
                    nowMillis,
                    leaving.job().jobId(),
                    leaving.epoch(),
                    GRACE_MILLIS,
                    "disturbs a service at the lowest speed",
                    figures));
        }
        return Optional.empty();
    }

    /** Finds the task that contributes most among those that may be throttled further, or evicted. */
    private @Nullable Task worst(Worker worker, SiteConfiguration configuration, boolean toEvict) {
        List<Task> services = new ArrayList<>();
        for (Task task : worker.tasks()) {
            if (task.job().serviceTask()) {
                services.add(task);
            }
        }
        Task worst = null;
        double most = 0;
        for (Task task : worker.tasks()) {
            if (!isMovable(task, configuration, toEvict)) {
                continue;
            }
            double contribution = 0;
            for (Task service : services) {
                if (Profiles.urgency(configuration, service.job()) > Profiles.urgency(configuration, task.job())) {
                    contribution += contribution(service, task);
                }
            }
            if (contribution > most) {
                most = contribution;
                worst = task;
            }
        }
        return worst;
    }

    private double contribution(Task service, Task task) {
        double processors = task.allocation().millicores() / 1000.0 * task.requestedSpeedPercent() / 100;
        return model.predict(
                service.job().workClass(),
                new InterferenceModel.Neighbor(task.job().workClass(), processors));
    }

    private static boolean isMovable(Task task, SiteConfiguration configuration, boolean toEvict) {
        if (task.job().serviceTask() || task.phase() != TaskPhase.RUNNING) {
            return false;
        }
        Interruption interruption = Profiles.interruption(configuration, task.job());
        return toEvict
                ? interruption == Interruption.EVICT
                : interruption != Interruption.NEVER && task.requestedSpeedPercent() > LOWEST_SPEED_PERCENT;
    }

    /** What is known of one worker. */
    private static final class Watch {
        /** When the latest measurement was taken. */
        private long lastMeasuredMillis;

        /** Measurements taken before this moment say nothing about the last step. */
        private long settledMillis;

        /** The smoothed slowdown. */
        private double smoothed = 1_000;

        /** High samples in a row since the last step settled. */
        private int highInARow;

        /** Low samples in a row since the last step settled. */
        private int lowInARow;

        /** Low samples that are needed before a step is taken back. */
        private int samplesToRelease = FIRST_SAMPLES_TO_RELEASE;

        /** When a step was last taken back. */
        private long releasedMillis;

        /** Whether a step was taken that was not taken back. */
        private boolean acted;

        private void add(int slowdownThousandths, long measuredMillis) {
            lastMeasuredMillis = measuredMillis;
            if (measuredMillis < settledMillis) {
                return;
            }
            smoothed += SMOOTHING * (slowdownThousandths - smoothed);
            boolean isHigh = slowdownThousandths > HIGH_THOUSANDTHS && smoothed > HIGH_THOUSANDTHS;
            highInARow = isHigh ? highInARow + 1 : 0;
            lowInARow = smoothed < LOW_THOUSANDTHS ? lowInARow + 1 : 0;
        }

        private boolean mustAct() {
            return highInARow >= SAMPLES_TO_ACT;
        }

        private void act(long nowMillis) {
            boolean again = releasedMillis > 0 && nowMillis - releasedMillis < 60_000;
            samplesToRelease = again
                    ? Math.min(MOST_SAMPLES_TO_RELEASE, 2 * samplesToRelease)
                    : Math.max(FIRST_SAMPLES_TO_RELEASE, samplesToRelease);
            settle(nowMillis);
            acted = true;
        }

        private void release(long nowMillis) {
            releasedMillis = nowMillis;
            settle(nowMillis);
            acted = false;
        }

        private void settle(long nowMillis) {
            settledMillis = nowMillis + SETTLE_MILLIS;
            highInARow = 0;
            lowInARow = 0;
        }
    }
}
