package org.nettlering.domain.power;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskState;
import org.nettlering.domain.task.Worker;

/**
 * Whether the cap is met, and if not, when it will be and what it waits for.
 *
 * <p>Immutable and thread-safe.
 *
 * @param isAboveCap whether the committed draw exceeds the cap
 * @param expectedMetMillis when it is expected to meet the cap, in milliseconds since the epoch; zero if it does now, or
 *     if nothing that is known will make it
 * @param explanation what it waits for, not null
 */
public record PowerOutlook(boolean isAboveCap, long expectedMetMillis, String explanation) {
    /** How long a command and the report that confirms it take. */
    private static final long CONFIRMATION_MILLIS = 3_000;

    /**
     * Looks ahead from the present state.
     *
     * @param state the replicated state, not null
     * @param configuration the configuration in force, not null
     * @param nowMillis the leader's wall clock
     * @return the outlook, never null
     */
    public static PowerOutlook of(TaskState state, SiteConfiguration configuration, long nowMillis) {
        long cap = configuration.powerCapMilliwatts();
        long committed = state.allocatedMilliwatts();
        if (committed <= cap) {
            return new PowerOutlook(false, 0, "committed " + committed + " mW of " + cap + " mW");
        }
        long expected = PowerGovernor.expectedMilliwatts(state);
        if (expected <= cap) {
            return new PowerOutlook(
                    true, latestConfirmation(state, nowMillis), "tasks slow down or leave; waits for their reports");
        }
        return afterEnds(state, cap, expected, nowMillis);
    }

    private static long latestConfirmation(TaskState state, long nowMillis) {
        long latest = nowMillis + CONFIRMATION_MILLIS;
        for (Worker worker : state.workers()) {
            for (Task task : worker.tasks()) {
                if (PowerGovernor.isLeaving(task)) {
                    latest = Math.max(latest, task.phaseStartMillis() + task.graceMillis() + CONFIRMATION_MILLIS);
                }
            }
        }
        return latest;
    }

    private static PowerOutlook afterEnds(TaskState state, long cap, long expected, long nowMillis) {
        List<Task> ending = new ArrayList<>();
        for (Worker worker : state.workers()) {
            for (Task task : worker.tasks()) {
                if (!PowerGovernor.isLeaving(task) && task.job().declaredRunTimeMillis() > 0) {
                    ending.add(task);
                }
            }
        }
        ending.sort(Comparator.comparingLong(PowerOutlook::expectedEnd));
        long left = expected - cap;
        for (Task task : ending) {
            left -= PowerGovernor.expectedMilliwatts(task);
            if (left <= 0) {
                return new PowerOutlook(
                        true,
                        Math.max(nowMillis + CONFIRMATION_MILLIS, expectedEnd(task)),
                        "tasks that may not be interrupted draw too much; waits until job \""
                                + task.job().jobId() + "\" and shorter ones end");
            }
        }
        return new PowerOutlook(
                true, 0, "hosts and services that may not be interrupted draw " + left + " mW more than the cap");
    }

    private static long expectedEnd(Task task) {
        return task.startedMillis() + task.job().declaredRunTimeMillis();
    }
}
