package org.nettlering.domain.placement;

import java.util.Comparator;
import java.util.List;
import org.nettlering.domain.profile.Profiles;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskPhase;

/**
 * Raises the speed of throttled tasks stepwise if power is available and the services on their workers are unaffected.
 *
 * <p>Leaves some headroom below the cap, so that a raised task is not throttled again at once. Not thread-safe.
 */
final class SpeedRestorer {
    /** Share of the cap that stays unused, in percent. */
    private static final int HEADROOM_PERCENT = 2;

    /** Minimum time at one speed before the next raise. */
    private static final long MIN_MILLIS_AT_SPEED = 5_000;

    private static final int MAX_RAISES_PER_ROUND = 100;

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
