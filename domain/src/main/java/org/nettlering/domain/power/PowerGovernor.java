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
 * Lowers the committed draw by the levers that the profiles allow.
 *
 * <p>The levers in order: start nothing (which is the planner's matter), run at half and at quarter speed, write a
 * checkpoint and leave; each from the least urgent profile up. What was asked for before and is not confirmed yet counts as
 * done, so that late confirmations do not lead to further steps. Stateless and thread-safe.
 */
public final class PowerGovernor {
    /** An urgency above every profile's. */
    public static final int ANY_URGENCY = 101;

    /** The speeds that are asked for in turn, in percent. */
    private static final int[] REDUCED_SPEEDS_PERCENT = {50, 25};

    /** How long an evicted task may take to write its checkpoint. */
    static final long CHECKPOINT_GRACE_MILLIS = 10_000;

    private PowerGovernor() {}

    /**
     * Lowers the draw that is expected once everything asked for is done.
     *
     * @param state the replicated state, not null
     * @param configuration the configuration in force, not null
     * @param targetMilliwatts the draw to reach
     * @param belowUrgency only tasks of lower urgency are disturbed
     * @param rule why, for the explanation, not null
     * @param nowMillis the leader's wall clock
     * @return the commands; empty when the target is expected to be met or nothing more can be done, never null
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
     * Returns the committed draw once every lower speed and every end that was asked for is confirmed.
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

    /** A task that may be disturbed. */
    private record Candidate(Task task, Interruption interruption, int urgency) {}

    /** The steps that are taken until the excess is gone. */
    private static final class Reduction {
        /** The draw that is still too much. */
        private long excessMilliwatts;

        /** The speed decided on for each task, in percent; zero for those that leave. */
        private final Map<Task, Integer> plannedSpeedPercents = new LinkedHashMap<>();

        /** Why. */
        private final String rule;

        /** The figures behind it. */
        private final String details;

        /** The leader's wall clock. */
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
