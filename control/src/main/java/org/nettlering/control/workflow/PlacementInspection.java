package org.nettlering.control.workflow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.nettlering.domain.workflow.HostAllocations;
import org.nettlering.domain.workflow.StepId;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.domain.workflow.host.HostSession;
import org.nettlering.domain.workflow.placement.FreeCapacity;
import org.nettlering.domain.workflow.placement.PlacementObstacle;
import org.nettlering.domain.workflow.placement.StartAdmission;
import org.nettlering.runtime.log.EventLogger;

/**
 * Finds steps whose tasks stay pending although hosts of their pool have room for them twice over.
 *
 * <p>Reports one step at each inspection, those in turn that were reported longest ago. Changes nothing that plans use. Belongs
 * to a {@link LeaderDiagnostics}. Not thread-safe: used under the lock of the state machine.
 */
final class PlacementInspection {
    /** How long no task of a pending step may be started before the step is examined. */
    private static final Duration LIMIT = Duration.ofSeconds(1);

    /** The number of steps that are examined at one inspection. */
    private static final int MAX_STEPS = 8;

    /** The obstacle of a host that accepts runs and has none, so that a plan should place a task there. */
    private static final String NO_OBSTACLE = "NONE";

    private static final String BACKING_OFF = "BACKING_OFF";

    private static final EventLogger LOG = EventLogger.of(PlacementInspection.class);

    private final Map<StepId, Wait> waits = new HashMap<>();

    /** The steps of which tasks were started since the last inspection. */
    private final Set<StepId> startedSteps = new HashSet<>();

    PlacementInspection() {}

    /** A pending step of which no task was started. */
    private static final class Wait {
        private final long sinceNanos;

        /** When the step was last examined, by the monotonic clock. */
        private long examinedNanos;

        private Wait(long sinceNanos) {
            this.sinceNanos = sinceNanos;
            examinedNanos = sinceNanos;
        }
    }

    private record Candidate(StepProgress step, Wait pending) {}

    /** A host whose pool and capacity are known. */
    private record Host(
            HostSession session, HostHeartbeat heartbeat, HostAllocations allocations, FreeCapacity capacity) {}

    void clear() {
        waits.clear();
        startedSteps.clear();
    }

    void taskStarted(StepId step) {
        startedSteps.add(step);
    }

    /** Returns the action that logs what was found, or empty. */
    Optional<Runnable> inspect(WorkflowState state, WorkflowLeadership leadership, long nowNanos) {
        List<Candidate> candidates = new ArrayList<>();
        Set<StepId> pending = new HashSet<>();
        waits.keySet().removeAll(startedSteps);
        startedSteps.clear();
        for (StepProgress step : state.pendingSteps()) {
            pending.add(step.id());
            Wait wait = waits.computeIfAbsent(step.id(), id -> new Wait(nowNanos));
            if (nowNanos - wait.sinceNanos >= LIMIT.toNanos()) {
                candidates.add(new Candidate(step, wait));
            }
        }
        waits.keySet().retainAll(pending);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        candidates.sort(Comparator.comparingLong(candidate -> candidate.pending().examinedNanos - nowNanos));
        List<Host> hosts = hosts(state, leadership);
        for (Candidate candidate : candidates.subList(0, Math.min(MAX_STEPS, candidates.size()))) {
            candidate.pending().examinedNanos = nowNanos;
            Optional<Runnable> line = examine(candidate, hosts, leadership, nowNanos);
            if (line.isPresent()) {
                return line;
            }
        }
        return Optional.empty();
    }

    private static List<Host> hosts(WorkflowState state, WorkflowLeadership leadership) {
        List<Host> hosts = new ArrayList<>();
        for (HostSession session : leadership.sessions()) {
            session.latestHeartbeat().ifPresent(heartbeat -> {
                HostAllocations allocations =
                        state.allocationsOf(session.host().id()).orElseGet(() -> HostAllocations.empty(session.host()));
                // Not the cached capacity, which would keep what is looked up in it for the next plan.
                FreeCapacity capacity = FreeCapacity.of(
                        heartbeat,
                        allocations,
                        0,
                        HostColocation.latencyCriticalRuns(state, session),
                        StartAdmission.ALL);
                hosts.add(new Host(session, heartbeat, allocations, capacity));
            });
        }
        return hosts;
    }

    private static Optional<Runnable> examine(
            Candidate candidate, List<Host> hosts, WorkflowLeadership leadership, long nowNanos) {
        StepProgress step = candidate.step();
        String pool = step.job().terms().pool();
        Map<String, Integer> hostsByObstacle = new TreeMap<>();
        long room = 0;
        for (Host host : hosts) {
            long tasks = PlacementObstacle.tasksThatFit(step.specification(), host.capacity());
            if (tasks > 0 && host.heartbeat().pool().equals(pool)) {
                room += tasks;
                hostsByObstacle.merge(obstacle(step, host, leadership, nowNanos), 1, Integer::sum);
            }
        }
        int together =
                step.specification().has(StepTrait.GANG) ? step.specification().taskCount() : 1;
        if (room < 2L * together) {
            return Optional.empty();
        }
        long waitedMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - candidate.pending().sinceNanos);
        PendingDetails details = new PendingDetails(
                step.pendingCount(),
                step.activeRunCount(),
                step.specification().demand().toString(),
                step.specification().traits(),
                hostsByObstacle);
        return Optional.of(() -> LOG.log(WorkflowEvent.TASKS_NOT_PLACED, step.id(), waitedMillis, pool, details));
    }

    private static String obstacle(StepProgress step, Host host, WorkflowLeadership leadership, long nowNanos) {
        return host.session()
                .refusal(nowNanos)
                .map(Enum::name)
                .or(() -> leadership.isBackingOff(host.session().host().id(), nowNanos)
                        ? Optional.of(BACKING_OFF)
                        : Optional.empty())
                .or(() -> PlacementObstacle.of(
                                step.id(),
                                step.specification(),
                                host.heartbeat(),
                                host.allocations(),
                                host.capacity(),
                                leadership.colocationController())
                        .map(Enum::name))
                .orElse(NO_OBSTACLE);
    }
}
