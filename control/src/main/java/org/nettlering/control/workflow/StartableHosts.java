package org.nettlering.control.workflow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.nettlering.domain.workflow.HostAllocations;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.domain.workflow.host.HostSession;
import org.nettlering.domain.workflow.placement.FreeCapacity;
import org.nettlering.domain.workflow.placement.HostFailureBackoff;
import org.nettlering.domain.workflow.placement.StartAdmission;

/**
 * The hosts of one leadership on which runs may start: they accept runs, are not to be emptied and are not excluded after
 * failures.
 *
 * <p>Not thread-safe: belongs to a {@link WorkflowLeadership}.
 */
final class StartableHosts {
    /** How recently a host was heard of that hardly is down: a third of the interval of its heartbeats. */
    private static final Duration RECENT_CONTACT = Duration.ofMillis(500);

    /** The sessions by the incarnation id of the host, changed by the leadership. */
    private final Map<String, HostSession> sessions;

    private final LoopCounters counters;

    private final LoopFailures failures;

    private final HostFailureBackoff failureBackoff = HostFailureBackoff.create();

    private final FreeCapacityCache cache = new FreeCapacityCache();

    StartableHosts(Map<String, HostSession> sessions, LoopCounters counters, LoopFailures failures) {
        this.sessions = sessions;
        this.counters = counters;
        this.failures = failures;
    }

    HostFailureBackoff failureBackoff() {
        return failureBackoff;
    }

    /** Discards what was computed for a host, after a change other than of its allocations. */
    void hostChanged(String hostId) {
        cache.invalidate(hostId);
    }

    void removeHost(String hostId) {
        failureBackoff.removeHost(hostId);
        cache.invalidate(hostId);
    }

    /** Returns whether a run may still start whose start was committed a moment ago: its host has neither shrunk, closed nor shut down. */
    static boolean mayStartCommitted(WorkflowState state, HostSession session) {
        boolean exceedsCapacity = state.allocationsOf(session.host().id())
                .flatMap(allocations -> session.latestHeartbeat()
                        .filter(heartbeat -> !allocations.allocated().fitsIn(heartbeat.capacity())))
                .isPresent();
        return !exceedsCapacity && !session.isShutdownAnnounced() && !HostDrains.isClosed(state.evacuations(), session);
    }

    /** Returns the processors of the hosts of a pool that are not to be emptied, in millicores; zero while none is known. */
    long poolMillicores(WorkflowState state, String pool) {
        long sum = 0;
        for (HostSession session : sessions.values()) {
            sum += session.latestHeartbeat()
                    .filter(heartbeat ->
                            heartbeat.pool().equals(pool) && !HostDrains.isClosed(state.evacuations(), session))
                    .map(heartbeat -> heartbeat.capacity().millicores())
                    .orElse(0L);
        }
        return sum;
    }

    /** Returns the free capacity of each host on which runs may start now. */
    List<FreeCapacity> freeCapacities(WorkflowState state, long nowNanos) {
        Map<String, List<String>> hostIdsByPool = new LinkedHashMap<>();
        for (HostSession session : sessions.values()) {
            if (session.acceptsRuns(nowNanos) && !HostDrains.isClosed(state.evacuations(), session)) {
                session.latestHeartbeat()
                        .ifPresent(heartbeat -> hostIdsByPool
                                .computeIfAbsent(heartbeat.pool(), pool -> new ArrayList<>())
                                .add(session.host().id()));
            }
        }
        List<FreeCapacity> capacities = new ArrayList<>();
        for (List<String> hostIds : hostIdsByPool.values()) {
            Set<String> backingOff = failureBackoff.backingOff(hostIds, nowNanos);
            hostIds.stream()
                    .filter(hostId -> !backingOff.contains(hostId) || failureBackoff.mayBeTried(hostId, nowNanos))
                    .map(sessions::get)
                    .forEach(session -> session.latestHeartbeat()
                            .ifPresent(heartbeat -> failures.isolate(
                                    LoopPart.PLAN, session.host().id(), () -> {
                                        FreeCapacity capacity = cachedCapacity(state, session, heartbeat);
                                        capacity.setInContact(session.hasContactWithin(RECENT_CONTACT, nowNanos));
                                        capacity.setLastResort(backingOff.contains(
                                                session.host().id()));
                                        capacities.add(capacity);
                                    })));
        }
        return capacities;
    }

    /** Takes the runs that a host has just reported for evidence that it is sound, if they have been at work for long. */
    void recordUsage(HostSession session, long nowNanos) {
        String hostId = session.host().id();
        if (failureBackoff.consecutiveFailures(hostId) > 0) {
            session.runs()
                    .usages()
                    .forEach(usage ->
                            failureBackoff.recordAtWork(hostId, usage.startNanos(), usage.atWorkNanos(nowNanos)));
        }
    }

    private FreeCapacity cachedCapacity(WorkflowState state, HostSession session, HostHeartbeat heartbeat) {
        String id = session.host().id();
        HostAllocations allocations = state.allocationsOf(id).orElse(null);
        return cache.freeCapacity(id, allocations, () -> {
            counters.countCapacityComputation();
            return FreeCapacity.of(
                    heartbeat,
                    allocations == null ? HostAllocations.empty(session.host()) : allocations,
                    failureBackoff.consecutiveFailures(id),
                    HostColocation.latencyCriticalRuns(state, session),
                    startAdmission(state, session));
        });
    }

    private static StartAdmission startAdmission(WorkflowState state, HostSession session) {
        List<RunId> unproven = session.runs().unproven();
        if (unproven.isEmpty()) {
            return StartAdmission.ALL;
        }
        return unproven.stream().anyMatch(run -> isSuspect(state, run))
                ? StartAdmission.NONE
                : StartAdmission.NO_SUSPECTS;
    }

    /** Returns whether the task of a run is suspected of crashing its hosts. */
    static boolean isSuspect(WorkflowState state, RunId run) {
        return state.step(run.task().step())
                .filter(step -> step.task(run.task().index()).isSuspect())
                .isPresent();
    }
}
