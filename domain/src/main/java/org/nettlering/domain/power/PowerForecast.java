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
public record PowerForecast(boolean isAboveCap, long expectedMetMillis, String explanation) {
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
    public static PowerForecast of(TaskState state, SiteConfiguration configuration, long nowMillis) {
        long capMilliwatts = configuration.powerCapMilliwatts();
        long allocatedMilliwatts = state.allocatedMilliwatts();
        if (allocatedMilliwatts <= capMilliwatts) {
            return new PowerForecast(false, 0, "committed " + allocatedMilliwatts + " mW of " + capMilliwatts + " mW");
        }
        long expectedMilliwatts = PowerGovernor.expectedMilliwatts(state);
        if (expectedMilliwatts <= capMilliwatts) {
            return new PowerForecast(
                    true, latestConfirmation(state, nowMillis), "tasks slow down or leave; waits for their reports");
        }
        return afterTerminations(state, capMilliwatts, expectedMilliwatts, nowMillis);
    }

    private static long latestConfirmation(TaskState state, long nowMillis) {
        long latest = nowMillis + CONFIRMATION_MILLIS;
        for (Worker worker : state.workers()) {
            for (Task task : worker.tasks()) {
                if (PowerGovernor.isStopping(task)) {
                    latest = Math.max(latest, task.phaseStartMillis() + task.graceMillis() + CONFIRMATION_MILLIS);
                }
            }
        }
        return latest;
    }

    private static PowerForecast afterTerminations(
            TaskState state, long capMilliwatts, long expectedMilliwatts, long nowMillis) {
        List<Task> finiteTasks = new ArrayList<>();
        for (Worker worker : state.workers()) {
            for (Task task : worker.tasks()) {
                if (!PowerGovernor.isStopping(task) && task.job().declaredRunTimeMillis() > 0) {
                    finiteTasks.add(task);
                }
            }
        }
        finiteTasks.sort(Comparator.comparingLong(PowerForecast::expectedTerminationMillis));
        long excessMilliwatts = expectedMilliwatts - capMilliwatts;
        for (Task task : finiteTasks) {
            excessMilliwatts -= PowerGovernor.expectedMilliwatts(task);
            if (excessMilliwatts <= 0) {
                return new PowerForecast(
                        true,
                        Math.max(nowMillis + CONFIRMATION_MILLIS, expectedTerminationMillis(task)),
                        "tasks that may not be interrupted draw too much; waits until job \""
                                + task.job().jobId() + "\" and shorter ones end");
            }
        }
        return new PowerForecast(
                true,
                0,
                "hosts and services that may not be interrupted draw " + excessMilliwatts + " mW more than the cap");
    }

    private static long expectedTerminationMillis(Task task) {
        return task.startedMillis() + task.job().declaredRunTimeMillis();
    }
}
