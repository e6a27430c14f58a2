package org.nettlering.domain.worker;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskEpoch;
import org.nettlering.domain.task.TaskPhase;
import org.nettlering.domain.task.TaskState;
import org.nettlering.domain.task.Worker;

/**
 * Reconciles the report of a worker with the replicated state.
 *
 * <p>Determines which commands to propose to the log and which commands to send to the worker. Stateless: the same report
 * yields the same result until the state changes, so a lost proposal or response is repeated with the next report.
 * Thread-safe, as long as the state does not change during a call.
 */
public final class WorkerReportReconciler {
    private WorkerReportReconciler() {}

    /**
     * Returns commands that record the contents of a report that the state does not contain yet.
     *
     * @param state the replicated state, not null
     * @param report the latest report of the worker, not null
     * @param nowMillis the wall-clock time of the leader, in milliseconds since the epoch
     * @return the commands to propose, never null
     */
    public static List<TaskCommand> commandsToPropose(TaskState state, WorkerReport report, long nowMillis) {
        Optional<Worker> registered = state.worker(report.workerId());
        if (registered.isEmpty() || needsRegistration(registered.get(), report)) {
            return registrationCommands(registered, report, nowMillis);
        }
        List<TaskCommand> commands = new ArrayList<>();
        for (WorkerReport.Terminated terminated : report.terminated()) {
            if (findPlacedTask(state, report.workerId(), terminated.jobId(), terminated.epoch())
                    .isPresent()) {
                commands.add(new TaskCommand.RecordTermination(
                        nowMillis,
                        terminated.jobId(),
                        terminated.epoch(),
                        terminated.reason(),
                        terminated.checkpoint(),
                        terminated.detail()));
            }
        }
        for (WorkerReport.Running running : report.running()) {
            findPlacedTask(state, report.workerId(), running.jobId(), running.epoch())
                    .ifPresent(task -> addProgressCommands(commands, task, running, nowMillis));
        }
        return commands;
    }

    /**
     * Returns the commands to send to the worker.
     *
     * @param state the replicated state, not null
     * @param report the latest report of the worker, not null
     * @param nowMillis the wall-clock time of the leader, in milliseconds since the epoch
     * @return the commands for the worker, never null
     */
    public static List<WorkerCommand> commandsForWorker(TaskState state, WorkerReport report, long nowMillis) {
        List<WorkerCommand> commands = new ArrayList<>();
        Set<TaskEpoch> reported = new HashSet<>();
        for (WorkerReport.Terminated terminated : report.terminated()) {
            reported.add(new TaskEpoch(terminated.jobId(), terminated.epoch()));
            if (findPlacedTask(state, report.workerId(), terminated.jobId(), terminated.epoch())
                    .isEmpty()) {
                commands.add(new WorkerCommand.Acknowledge(terminated.jobId(), terminated.epoch()));
            }
        }
        for (WorkerReport.Running running : report.running()) {
            TaskEpoch epoch = new TaskEpoch(running.jobId(), running.epoch());
            if (reported.add(epoch)) {
                findPlacedTask(state, report.workerId(), running.jobId(), running.epoch())
                        .ifPresentOrElse(
                                task -> addCommandsForRunning(commands, task, running, nowMillis),
                                () -> commands.add(new WorkerCommand.Stop(running.jobId(), running.epoch())));
            }
        }
        state.worker(report.workerId())
                .filter(worker -> worker.isLive() && worker.incarnation() == report.incarnation())
                .ifPresent(worker -> addCommandsForUnreported(commands, worker, reported));
        return commands;
    }

    /**
     * Returns whether a worker must be registered before its lease can be renewed.
     *
     * @param worker the worker in the replicated state, not null
     * @param report the report of the worker, not null
     * @return true if the session is closed, the incarnation is another one, or the capacity, idle power, rack or failure
     *     domain changed
     */
    public static boolean needsRegistration(Worker worker, WorkerReport report) {
        return !worker.isLive()
                || worker.incarnation() != report.incarnation()
                || !worker.capacity().equals(report.capacity())
                || worker.idleMilliwatts() != report.idleMilliwatts()
                || !worker.rack().equals(report.rack())
                || !worker.failureDomain().equals(report.failureDomain());
    }

    private static List<TaskCommand> registrationCommands(
            Optional<Worker> registered, WorkerReport report, long nowMillis) {
        if (registered.isPresent() && report.incarnation() < registered.get().incarnation()) {
            return List.of();
        }
        List<TaskEpoch> running = report.running().stream()
                .map(task -> new TaskEpoch(task.jobId(), task.epoch()))
                .toList();
        return List.of(new TaskCommand.RegisterWorker(
                nowMillis,
                report.workerId(),
                report.incarnation(),
                report.capacity(),
                report.rack(),
                report.failureDomain(),
                report.idleMilliwatts(),
                running));
    }

    private static Optional<Task> findPlacedTask(TaskState state, String workerId, String jobId, long epoch) {
        return state.task(jobId)
                .filter(task -> task.phase().isPlaced()
                        && task.epoch() == epoch
                        && task.workerId().equals(workerId));
    }

    private static void addProgressCommands(
            List<TaskCommand> commands, Task task, WorkerReport.Running running, long nowMillis) {
        boolean unconfirmedStart = task.phase() == TaskPhase.STARTING || task.phase() == TaskPhase.RESUMING;
        if (unconfirmedStart || running.checkpoint() > task.checkpoint()) {
            commands.add(
                    new TaskCommand.RecordProgress(nowMillis, running.jobId(), running.epoch(), running.checkpoint()));
        }
        if (running.throttleVersion() == task.throttleVersion()
                && task.requestedSpeedPercent() < task.allocatedSpeedPercent()) {
            commands.add(new TaskCommand.ConfirmThrottle(
                    nowMillis, running.jobId(), running.epoch(), running.throttleVersion()));
        }
    }

    private static void addCommandsForRunning(
            List<WorkerCommand> commands, Task task, WorkerReport.Running running, long nowMillis) {
        String jobId = running.jobId();
        if (task.phase() == TaskPhase.CANCELLING) {
            commands.add(new WorkerCommand.Stop(jobId, running.epoch()));
            return;
        }
        if (task.phase() == TaskPhase.CHECKPOINTING) {
            boolean checkpointWritten = task.checkpointMillis() > task.phaseStartMillis();
            boolean graceExpired = nowMillis - task.phaseStartMillis() > task.graceMillis();
            commands.add(
                    checkpointWritten || graceExpired
                            ? new WorkerCommand.Stop(jobId, running.epoch())
                            : new WorkerCommand.Checkpoint(jobId, running.epoch()));
            return;
        }
        if (running.throttleVersion() != task.throttleVersion()) {
            commands.add(new WorkerCommand.Throttle(
                    jobId, running.epoch(), task.requestedSpeedPercent(), task.throttleVersion()));
        }
    }

    /** Repeats the start of unreported tasks; tasks that are being stopped get a stop command, which prevents their start. */
    private static void addCommandsForUnreported(List<WorkerCommand> commands, Worker worker, Set<TaskEpoch> reported) {
        for (Task task : worker.tasks()) {
            if (reported.contains(new TaskEpoch(task.job().jobId(), task.epoch()))) {
                continue;
            }
            boolean stopping = task.phase() == TaskPhase.CANCELLING || task.phase() == TaskPhase.CHECKPOINTING;
            commands.add(
                    stopping
                            ? new WorkerCommand.Stop(task.job().jobId(), task.epoch())
                            : new WorkerCommand.Start(
                                    task.job(),
                                    task.epoch(),
                                    task.resumeCheckpoint(),
                                    task.requestedSpeedPercent(),
                                    task.throttleVersion()));
        }
    }
}
