package org.nettlering.domain.power;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.domain.configuration.Interruption;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.profile.Profiles;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskPhase;
import org.nettlering.domain.task.TaskState;
import org.nettlering.domain.task.Worker;

/**
 * Selects commands that reduce the allocated power, as far as the profiles allow.
 *
 * <p>Three measures apply in this order, each to the least urgent tasks first:
 * <ol>
 *   <li>throttle to half speed;
 *   <li>throttle to a quarter of full speed;
 *   <li>evict after a checkpoint.
 * </ol>
 *
 * <p>The planner starts no tasks while the cap is exceeded. Reductions that were requested but not yet confirmed count
 * as done, so that late confirmations do not cause further reductions. Stateless and thread-safe.
 */
public final class PowerGovernor {
    /** An urgency above that of every profile, so that tasks of any urgency may be interrupted. */
    public static final int ANY_URGENCY = 101;

    /** Speeds to throttle to, in the order of use, in percent of full speed. */
    private static final int[] REDUCED_SPEEDS_PERCENT = {50, 25};

    /** Time for an evicted task to write its checkpoint. */
    static final long CHECKPOINT_GRACE_MILLIS = 10_000;

    private PowerGovernor() {}

    /**
     * Returns commands that bring the expected power draw down to a target.
     *
     * <p>The expected draw counts all requested reductions as confirmed.
     *
     * @param state the replicated state, not null
     * @param configuration the configuration in force, not null
     * @param targetMilliwatts the draw to reach
     * @param belowUrgency only tasks of lower urgency are throttled or evicted
     * @param rule the reason, recorded with the commands, not null
     * @param nowMillis the leader's wall clock, in milliseconds since the epoch
     * @return the commands; empty if the target is expected to be met or no task may be reduced further, never null
     */
    public static List<TaskCommand> reductionCommands(
            TaskState state,
            SiteConfiguration configuration,
            long targetMilliwatts,
            int belowUrgency,
            String rule,
            long nowMillis) {
        long excessMilliwatts = expectedMilliwatts(state) - targetMilliwatts;
        if (excessMilliwatts <= 0) {
            return List.of();
        }
        List<Candidate> candidates = candidates(state, configuration, belowUrgency);
        String details = "expected " + expectedMilliwatts(state) + " mW, target " + targetMilliwatts + " mW";
        Reduction reduction = new Reduction(excessMilliwatts, rule, details, nowMillis);
        for (int speedPercent : REDUCED_SPEEDS_PERCENT) {
            candidates.forEach(candidate -> reduction.throttle(candidate, speedPercent));
        }
        candidates.stream()
                .filter(candidate -> candidate.interruption() == Interruption.EVICT)
                .sorted(Comparator.comparingInt(Candidate::urgency)
                        .thenComparingLong(candidate -> unsavedWorkMillis(candidate.task(), nowMillis)))
                .forEach(reduction::evict);
        return reduction.commands();
    }

    /**
     * Returns the allocated power after all requested throttles and stops are confirmed.
     *
     * @param state the replicated state, not null
     * @return milliwatts
     */
    public static long expectedMilliwatts(TaskState state) {
        long expected = 0;
        for (Worker worker : state.workers()) {
            expected += worker.idleMilliwatts();
            for (Task task : worker.tasks()) {
                expected += expectedMilliwatts(task);
            }
        }
        return expected;
    }

    static long expectedMilliwatts(Task task) {
        if (isStopping(task)) {
            return 0;
        }
        return Task.powerAtSpeed(
                task.fullPowerMilliwatts(), Math.min(task.allocatedSpeedPercent(), task.requestedSpeedPercent()));
    }

    static boolean isStopping(Task task) {
        return task.phase() == TaskPhase.CHECKPOINTING || task.phase() == TaskPhase.CANCELLING;
    }

    private static long unsavedWorkMillis(Task task, long nowMillis) {
        return nowMillis - Math.max(task.startedMillis(), task.checkpointMillis());
    }

    private static List<Candidate> candidates(TaskState state, SiteConfiguration configuration, int belowUrgency) {
        List<Candidate> candidates = new ArrayList<>();
        for (Worker worker : state.workers()) {
            for (Task task : worker.tasks()) {
                Interruption interruption = Profiles.interruption(configuration, task.job());
                int urgency = Profiles.urgency(configuration, task.job());
                if (!isStopping(task) && interruption != Interruption.NEVER && urgency < belowUrgency) {
                    candidates.add(new Candidate(task, interruption, urgency));
                }
            }
        }
        candidates.sort(Comparator.comparingInt(Candidate::urgency)
                .thenComparingLong(candidate -> -candidate.task().fullPowerMilliwatts())
                .thenComparing(candidate -> candidate.task().job().jobId()));
        return candidates;
    }

    /** A task that may be throttled or evicted. */
    private record Candidate(Task task, Interruption interruption, int urgency) {}

    /** Accumulates throttles and evictions until the excess power is removed. */
    private static final class Reduction {
        /** Excess power that remains. */
        private long excessMilliwatts;

        /** Planned speed of each task in percent, zero for evicted tasks. */
        private final Map<Task, Integer> plannedSpeedPercents = new LinkedHashMap<>();

        private final String rule;

        private final String details;

        private final long nowMillis;

        Reduction(long excessMilliwatts, String rule, String details, long nowMillis) {
            this.excessMilliwatts = excessMilliwatts;
            this.rule = rule;
            this.details = details;
            this.nowMillis = nowMillis;
        }

        void throttle(Candidate candidate, int speedPercent) {
            Task task = candidate.task();
            long reducedMilliwatts = Task.powerAtSpeed(task.fullPowerMilliwatts(), speedPercent);
            if (excessMilliwatts <= 0 || reducedMilliwatts >= plannedMilliwatts(task)) {
                return;
            }
            excessMilliwatts -= plannedMilliwatts(task) - reducedMilliwatts;
            plannedSpeedPercents.put(task, speedPercent);
        }

        void evict(Candidate candidate) {
            if (excessMilliwatts <= 0) {
                return;
            }
            excessMilliwatts -= plannedMilliwatts(candidate.task());
            plannedSpeedPercents.put(candidate.task(), 0);
        }

        List<TaskCommand> commands() {
            List<TaskCommand> commands = new ArrayList<>();
            plannedSpeedPercents.forEach((task, speedPercent) -> commands.add(command(task, speedPercent)));
            return commands;
        }

        private TaskCommand command(Task task, int speedPercent) {
            String jobId = task.job().jobId();
            return speedPercent == 0
                    ? new TaskCommand.Evict(nowMillis, jobId, task.epoch(), CHECKPOINT_GRACE_MILLIS, rule, details)
                    : new TaskCommand.Throttle(nowMillis, jobId, task.epoch(), speedPercent, rule, details);
        }

        private long plannedMilliwatts(Task task) {
            Integer speedPercent = plannedSpeedPercents.get(task);
            return speedPercent == null
                    ? expectedMilliwatts(task)
                    : Task.powerAtSpeed(task.fullPowerMilliwatts(), speedPercent);
        }
    }
}
