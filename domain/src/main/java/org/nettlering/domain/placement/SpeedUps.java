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
final class SpeedUps {
    /** The part of the cap that stays unused, in percent. */
    private static final int HEADROOM_PERCENT = 2;

    /** How long a task runs at one speed at the least. */
    private static final long SHORTEST_MILLIS = 5_000;

    /** Tasks in one round. */
    private static final int MAX_IN_ROUND = 100;

    /** What is known of the site. */
    private final Site site;

    SpeedUps(Site site) {
        this.site = site;
    }

    void plan(Round round) {
        long limit = round.capMilliwatts() * (100 - HEADROOM_PERCENT) / 100;
        List<Task> tasks = site.slowed.stream()
                .filter(task -> task.phase() == TaskPhase.RUNNING
                        && task.allocatedSpeedPercent() == task.requestedSpeedPercent()
                        && round.nowMillis - task.speedChangedMillis() >= SHORTEST_MILLIS
                        && site.guard.isCalm(task.workerId()))
                .sorted(Comparator.comparingInt((Task task) -> -Profiles.urgency(round.configuration, task.job()))
                        .thenComparing(task -> task.job().jobId()))
                .limit(MAX_IN_ROUND)
                .toList();
        for (Task task : tasks) {
            speedUp(task, limit, round);
        }
    }

    private void speedUp(Task task, long limit, Round round) {
        int percent = Math.min(Task.FULL_SPEED_PERCENT, 2 * task.requestedSpeedPercent());
        long more = Task.powerAtSpeed(task.fullPowerMilliwatts(), percent) - task.allocatedMilliwatts();
        if (round.committedMilliwatts + more > limit || !site.guard.isCalm(task.workerId())) {
            return;
        }
        round.committedMilliwatts += more;
        site.guard.released(task.workerId(), round.nowMillis);
        round.commands.add(new TaskCommand.Throttle(
                round.nowMillis,
                task.job().jobId(),
                task.epoch(),
                percent,
                "services are calm and there is power",
                "draw " + round.committedMilliwatts + " of " + round.capMilliwatts() + " mW"));
    }
}
