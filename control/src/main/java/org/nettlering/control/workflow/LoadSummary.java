package org.nettlering.control.workflow;

import java.util.Collection;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.nettlering.domain.workflow.HostAllocations;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.domain.workflow.host.HostSession;
import org.nettlering.domain.workflow.host.RunUsage;

/**
 * The running and pending work and the processors for it, summed over all hosts.
 *
 * <p>For logs only. Immutable and thread-safe.
 */
final class LoadSummary {
    private static final int FULL_PERCENT = 100;

    /** What is summed, with the name of its field in the log; processors are in millicores. */
    private enum Quantity {
        /** The processors of the hosts that accept runs. */
        USABLE("usableMillicores"),
        /** What long-running tasks hold there. */
        LONG_RUNNING("longRunningMillicores"),
        /** What other tasks but best-effort ones hold there. */
        ALLOCATED_TO_OTHERS("otherMillicores"),
        SERVING_RUNS("servingRuns"),
        BEST_EFFORT_RUNS("bestEffortRuns"),
        /** What best-effort runs request. */
        BEST_EFFORT("bestEffortMillicores"),
        /** The same, multiplied by the speed of each run. */
        THROTTLED("throttledMillicores"),
        /** What best-effort runs used at the last measurement. */
        USED("usedMillicores"),
        OTHER_RUNS("otherRuns"),
        /** The pending best-effort tasks. */
        PENDING_BEST_EFFORT("pendingBestEffort"),
        PENDING_BEST_EFFORT_DEMAND("pendingBestEffortMillicores"),
        /** All other pending tasks. */
        PENDING_OTHERS("pendingOthers"),
        PENDING_OTHERS_DEMAND("pendingOtherMillicores");

        private final String field;

        Quantity(String field) {
            this.field = field;
        }
    }

    private final Map<Quantity, Long> sums = new EnumMap<>(Quantity.class);

    static LoadSummary of(WorkflowState state, Collection<HostSession> sessions, long nowNanos) {
        return new LoadSummary(state, sessions, nowNanos);
    }

    private LoadSummary(WorkflowState state, Collection<HostSession> sessions, long nowNanos) {
        for (HostSession session : sessions) {
            if (session.acceptsRuns(nowNanos)) {
                session.latestHeartbeat()
                        .map(HostHeartbeat::capacity)
                        .ifPresent(capacity -> add(Quantity.USABLE, capacity.millicores()));
                state.allocationsOf(session.host().id()).ifPresent(this::addAllocations);
            }
            for (RunUsage usage : session.runs().usages()) {
                state.step(usage.run().task().step()).ifPresent(step -> addRun(step.specification(), usage));
            }
        }
        state.pendingSteps().forEach(this::addPending);
    }

    private void addAllocations(HostAllocations allocations) {
        for (StepSpecification step : allocations.specifications()) {
            boolean longRunning = step.has(StepTrait.LONG_RUNNING);
            add(
                    longRunning ? Quantity.LONG_RUNNING : Quantity.ALLOCATED_TO_OTHERS,
                    step.allocation().millicores());
        }
    }

    private void addRun(StepSpecification step, RunUsage usage) {
        if (step.isLatencyCritical()) {
            add(Quantity.SERVING_RUNS, 1);
        } else if (step.has(StepTrait.BEST_EFFORT)) {
            long requestedMillicores = step.demand().millicores();
            add(Quantity.BEST_EFFORT_RUNS, 1);
            add(Quantity.BEST_EFFORT, requestedMillicores);
            add(Quantity.THROTTLED, requestedMillicores * usage.speedPercent() / FULL_PERCENT);
            add(Quantity.USED, usage.load());
        } else {
            add(Quantity.OTHER_RUNS, 1);
        }
    }

    private void addPending(StepProgress step) {
        boolean bestEffort = step.specification().has(StepTrait.BEST_EFFORT);
        int tasks = step.pendingCount();
        long millicores = tasks * step.specification().demand().millicores();
        add(bestEffort ? Quantity.PENDING_BEST_EFFORT : Quantity.PENDING_OTHERS, tasks);
        add(bestEffort ? Quantity.PENDING_BEST_EFFORT_DEMAND : Quantity.PENDING_OTHERS_DEMAND, millicores);
    }

    private void add(Quantity quantity, long amount) {
        sums.merge(quantity, amount, Long::sum);
    }

    /** Returns the fields of the log line by name. */
    Map<String, Object> toFields() {
        Map<String, Object> fields = new LinkedHashMap<>();
        for (Quantity quantity : Quantity.values()) {
            fields.put(quantity.field, sums.getOrDefault(quantity, 0L));
        }
        return fields;
    }
}
