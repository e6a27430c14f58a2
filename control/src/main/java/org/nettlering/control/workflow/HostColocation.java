package org.nettlering.control.workflow;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.colocation.BestEffortRun;
import org.nettlering.domain.workflow.colocation.ColocationController;
import org.nettlering.domain.workflow.colocation.LatencyCriticalRun;
import org.nettlering.domain.workflow.host.HostSession;
import org.nettlering.domain.workflow.host.RunUsage;
import org.nettlering.domain.workflow.host.ThrottledRunPolicy;
import org.nettlering.domain.workflow.placement.ThrottledRun;
import org.nettlering.runtime.log.EventLogger;

/**
 * Applies the {@link ColocationController} to the hosts of one leadership: feeds it the usage of runs from poll results and
 * passes the speeds that it sets on to the host sessions.
 *
 * <p>Not thread-safe: belongs to a {@link WorkflowLeadership}.
 */
final class HostColocation {
    /** Full speed; also the progress of a long-running task that is running. */
    private static final int FULL_PERCENT = 100;

    private static final EventLogger LOG = EventLogger.of(HostColocation.class);

    private final ColocationController controller = ColocationController.create();

    /** The incarnation ids of the hosts with throttled runs. */
    private final Set<String> throttledHostIds = new LinkedHashSet<>();

    HostColocation() {}

    ColocationController controller() {
        return controller;
    }

    void removeHost(String hostId) {
        controller.removeHost(hostId);
        throttledHostIds.remove(hostId);
    }

    /** Records whether any run on a host is throttled; called after each response of the host. */
    void updateThrottled(HostSession session) {
        boolean anyThrottled = session.runs().usages().stream().anyMatch(usage -> usage.speedPercent() < FULL_PERCENT);
        if (anyThrottled) {
            throttledHostIds.add(session.host().id());
        } else {
            throttledHostIds.remove(session.host().id());
        }
    }

    /** Updates the interference model with the usage of the runs on a host, and adjusts the speed of its best-effort runs. */
    void adjustThrottling(WorkflowState state, HostSession session, long nowNanos) {
        List<LatencyCriticalRun> latencyCritical = latencyCriticalRuns(state, session);
        List<BestEffortRun> bestEffort = bestEffortRuns(state, session);
        session.setUsageMonitored(!latencyCritical.isEmpty() && !bestEffort.isEmpty());
        Map<RunId, Integer> speedPercents =
                controller.adjustSpeeds(session.host().id(), latencyCritical, bestEffort, nowNanos);
        if (!speedPercents.isEmpty()) {
            LOG.log(WorkflowEvent.THROTTLING_CHANGED, session.host().id(), latencyCritical, bestEffort, speedPercents);
            speedPercents.forEach(session.runs()::setSpeed);
        }
    }

    static List<LatencyCriticalRun> latencyCriticalRuns(WorkflowState state, HostSession session) {
        List<LatencyCriticalRun> latencyCritical = new ArrayList<>();
        for (RunUsage usage : session.runs().usages()) {
            state.step(usage.run().task().step())
                    .map(StepProgress::specification)
                    .filter(step -> step.isLatencyCritical() && usage.progressPercent() == FULL_PERCENT)
                    .ifPresent(step -> latencyCritical.add(new LatencyCriticalRun(
                            usage.run(),
                            step.serviceLevel().image(),
                            step.serviceLevel().latencyTargetMillis(),
                            usage.load())));
        }
        return latencyCritical;
    }

    private static List<BestEffortRun> bestEffortRuns(WorkflowState state, HostSession session) {
        List<BestEffortRun> bestEffort = new ArrayList<>();
        for (RunUsage usage : session.runs().usages()) {
            state.step(usage.run().task().step())
                    .map(StepProgress::specification)
                    .filter(step -> step.has(StepTrait.BEST_EFFORT))
                    .ifPresent(step -> bestEffort.add(new BestEffortRun(
                            usage.run(),
                            step.serviceLevel().image(),
                            step.demand().millicores(),
                            usage.load(),
                            usage.speedPercent())));
        }
        return bestEffort;
    }

    /** Returns the runs that are throttled in favour of others and should be migrated; sessions are by host id. */
    List<ThrottledRun> throttledRuns(WorkflowState state, Map<String, HostSession> sessions, long nowNanos) {
        List<ThrottledRun> throttled = new ArrayList<>();
        for (String hostId : throttledHostIds) {
            HostSession session = sessions.get(hostId);
            if (session == null) {
                continue;
            }
            for (RunUsage usage : session.runs().usages()) {
                state.step(usage.run().task().step())
                        .filter(step -> ThrottledRunPolicy.shouldMigrate(step.specification(), usage, nowNanos))
                        .ifPresent(step ->
                                throttled.add(new ThrottledRun(new ActiveRun(usage.run(), session.host(), ""), step)));
            }
        }
        return throttled;
    }
}
