package org.nettlering.benchmarks.placement.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.placement.Planner;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskCommandResult;
import org.nettlering.domain.task.TaskState;
import org.nettlering.domain.task.Worker;
import org.nettlering.domain.worker.SessionLeases;
import org.nettlering.domain.worker.WorkerCommand;
import org.nettlering.domain.worker.WorkerReport;
import org.nettlering.domain.worker.WorkerReportReconciler;

/** The leader: the pure logic in the order in which the control process calls it. Not thread-safe. */
final class ModelLeader {
    /** The replicated state. */
    final TaskState state = TaskState.empty();

    /** Makes a planner for each leadership. */
    private final Supplier<Planner> planners;

    /** The present planner. */
    private Planner planner;

    /** The session leases. */
    private SessionLeases leases = SessionLeases.startingAt(0);

    /** What reports proved and is not proposed yet. */
    private final Map<String, TaskCommand> outbox = new LinkedHashMap<>();

    /** What was proposed and is not applied yet. */
    private List<TaskCommand> proposed = new ArrayList<>();

    /** The configuration in force. */
    private SiteConfiguration configuration;

    /** Commands that the state refused. */
    int refusals;

    ModelLeader(Supplier<Planner> planners, SiteConfiguration configuration) {
        this.planners = planners;
        this.planner = planners.get();
        this.configuration = configuration;
    }

    void configure(SiteConfiguration latest) {
        configuration = latest;
    }

    SiteConfiguration configuration() {
        return configuration;
    }

    TaskCommandResult apply(TaskCommand command, long nowMillis) {
        long before = state.allocatedMilliwatts();
        TaskCommandResult outcome = state.apply(command, configuration.powerCapMilliwatts());
        if (command instanceof TaskCommand.Start || command instanceof TaskCommand.Throttle) {
            Invariants.checkCap(before, state.allocatedMilliwatts(), configuration.powerCapMilliwatts(), nowMillis);
        }
        return outcome;
    }

    /** A new member leads: soft state is gone, and the open proposal was lost or not. */
    void failOver(long nowMillis, boolean loseProposal) {
        if (loseProposal) {
            proposed = new ArrayList<>();
        }
        outbox.clear();
        planner = planners.get();
        leases = SessionLeases.startingAt(nowMillis * 1_000_000);
    }

    /** Applies what was proposed in the step before, and proposes what is due now. */
    void step(long nowMillis) {
        for (TaskCommand command : proposed) {
            if (!apply(command, nowMillis).isAccepted()) {
                refusals++;
            }
        }
        for (Worker worker : leases.expire(state.workers(), nowMillis * 1_000_000)) {
            outbox.put("lost " + worker.id(), new TaskCommand.MarkWorkerLost(nowMillis, worker.id(), worker.session()));
        }
        proposed = new ArrayList<>(outbox.values());
        outbox.clear();
        proposed.addAll(planner.plan(state, configuration, nowMillis));
    }

    /** Reads a report; returns the response. */
    Response receive(WorkerReport report, long nowMillis) {
        if (!leases.accept(report)) {
            return new Response(0, List.of());
        }
        int number = 0;
        for (TaskCommand command : WorkerReportReconciler.commandsToPropose(state, report, nowMillis)) {
            outbox.put(report.workerId() + " " + number++, command);
        }
        planner.observe(state, report, nowMillis);
        boolean renewed = state.worker(report.workerId())
                .filter(worker -> worker.isLive() && worker.incarnation() == report.incarnation())
                .map(worker -> leases.renew(worker, nowMillis * 1_000_000))
                .orElse(false);
        return renewed
                ? new Response(
                        SessionLeases.LEASE_DURATION.toMillis(),
                        WorkerReportReconciler.commandsForWorker(state, report, nowMillis))
                : new Response(0, List.of());
    }

    /** What a worker is answered. */
    record Response(long leaseMillis, List<WorkerCommand> commands) {}
}
