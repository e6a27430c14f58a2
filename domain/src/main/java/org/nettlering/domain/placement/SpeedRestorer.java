package org.nettlering.domain.placement;

import java.util.Comparator;
import java.util.List;
import org.nettlering.domain.profile.Profiles;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskPhase;

/**
 * Gives throttled tasks their speed back, step by step, when there is power and the services beside them are calm.
 *
 * <p>A part of the cap stays unused for this, so that a task is not sped up only to be slowed down again. Not thread-safe.
 */
final class SpeedRestorer {
    /** The part of the cap that stays unused, in percent. */
    private static final int HEADROOM_PERCENT = 2;

    /** How long a task runs at one speed at the least. */
    private static final long MIN_MILLIS_AT_SPEED = 5_000;

    /** Tasks in one round. */
    private static final int MAX_RAISES_PER_ROUND = 100;

    /** What is known of the site. */
    private final PlannerState plannerState;

    SpeedRestorer(PlannerState plannerState) {
        this.plannerState = plannerState;
    }

    void plan(PlanningRound round) {
        long limitMilliwatts = round.powerCapMilliwatts() * (100 - HEADROOM_PERCENT) / 100;
        List<Task> tasks = plannerState.throttledTasks.stream()
                .filter(task -> task.phase() == TaskPhase.RUNNING
                        && task.allocatedSpeedPercent() == task.requestedSpeedPercent()
                        && round.nowMillis - task.speedChangedMillis() >= MIN_MILLIS_AT_SPEED
                        && plannerState.interferenceController.mayRaiseSpeed(task.workerId()))
                .sorted(Comparator.comparingInt((Task task) -> -Profiles.urgency(round.configuration, task.job()))
                        .thenComparing(task -> task.job().jobId()))
                .limit(MAX_RAISES_PER_ROUND)
                .toList();
        for (Task task : tasks) {
            raiseSpeed(task, limitMilliwatts, round);
        }
    }

    private void raiseSpeed(Task task, long limitMilliwatts, PlanningRound round) {
        int speedPercent = Math.min(Task.FULL_SPEED_PERCENT, 2 * task.requestedSpeedPercent());
        long additionalMilliwatts =
                Task.powerAtSpeed(task.fullPowerMilliwatts(), speedPercent) - task.allocatedMilliwatts();
        if (round.allocatedMilliwatts + additionalMilliwatts > limitMilliwatts
                || !plannerState.interferenceController.mayRaiseSpeed(task.workerId())) {
            return;
        }
        round.allocatedMilliwatts += additionalMilliwatts;
        plannerState.interferenceController.recordSpeedRaised(task.workerId(), round.nowMillis);
        round.commands.add(new TaskCommand.Throttle(
                round.nowMillis,
                task.job().jobId(),
                task.epoch(),
                speedPercent,
                "services are calm and there is power",
                "draw " + round.allocatedMilliwatts + " of " + round.powerCapMilliwatts() + " mW"));
    }
}
