package org.nettlering.domain.power;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskState;
import org.nettlering.domain.task.Worker;

/**
 * Whether the power cap is met and, if not, when it is expected to be met and what has to happen before.
 *
 * <p>Immutable and thread-safe.
 *
 * @param isAboveCap whether the allocated power exceeds the cap
 * @param expectedMetMillis when the allocated power is expected to meet the cap, in milliseconds since the epoch; zero if
 *     it does now, or if no known event will bring it below the cap
 * @param explanation the current allocation, or what has to happen before the cap is met, not null
 */
public record PowerForecast(boolean isAboveCap, long expectedMetMillis, String explanation) {
    /** Time for a command and for the report that confirms it. */
    private static final long CONFIRMATION_MILLIS = 3_000;

    /**
     * Returns the forecast for a state.
     *
     * @param state the replicated state, not null
     * @param configuration the configuration in force, not null
     * @param nowMillis the leader's wall clock, in milliseconds since the epoch
     * @return the forecast, never null
     */
    public static PowerForecast of(TaskState state, SiteConfiguration configuration, long nowMillis) {
        long capMilliwatts = configuration.powerCapMilliwatts();
        long allocatedMilliwatts = state.allocatedMilliwatts();
        if (allocatedMilliwatts <= capMilliwatts) {
            return new PowerForecast(false, 0, "allocated " + allocatedMilliwatts + " mW of " + capMilliwatts + " mW");
        }
        long expectedMilliwatts = PowerGovernor.expectedMilliwatts(state);
        if (expectedMilliwatts <= capMilliwatts) {
            return new PowerForecast(
                    true,
                    latestConfirmationMillis(state, nowMillis),
                    "tasks are being throttled or stopped; waiting for worker reports");
        }
        return afterTerminations(state, capMilliwatts, expectedMilliwatts, nowMillis);
    }

    private static long latestConfirmationMillis(TaskState state, long nowMillis) {
        long latestMillis = nowMillis + CONFIRMATION_MILLIS;
        for (Worker worker : state.workers()) {
            for (Task task : worker.tasks()) {
                if (PowerGovernor.isStopping(task)) {
                    latestMillis =
                            Math.max(latestMillis, task.phaseStartMillis() + task.graceMillis() + CONFIRMATION_MILLIS);
                }
            }
        }
        return latestMillis;
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
                        "uninterruptible tasks draw too much; waiting until job \""
                                + task.job().jobId() + "\" and shorter ones terminate");
            }
        }
        return new PowerForecast(
                true, 0, "hosts and uninterruptible services draw " + excessMilliwatts + " mW more than the cap");
    }

    private static long expectedTerminationMillis(Task task) {
        return task.startedMillis() + task.job().declaredRunTimeMillis();
    }
}
