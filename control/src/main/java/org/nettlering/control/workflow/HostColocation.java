package org.nettlering.control.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
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
 * How the runs on the hosts of one leadership share them: what the looks tell goes to the guard, and its paces to the hosts.
 *
 * <p>Not thread-safe: belongs to a {@link WorkflowLeadership}.
 */
final class HostColocation {
    /** The percent of a task that lasts and is at work. */
    private static final int FULL_PERCENT = 100;

    private static final EventLogger LOG = EventLogger.of(HostColocation.class);

    /** What was learned of the images that share hosts. */
    private final ColocationController controller = ColocationController.create();

    /** The hosts with runs that were slowed down, by the id of their life. */
    private final Set<String> throttledHostIds = new HashSet<>();

    HostColocation() {}

    /** Returns what was learned of the images that share hosts. */
    ColocationController controller() {
        return controller;
    }

    /** Forgets a host. */
    void removeHost(String hostId) {
        controller.removeHost(hostId);
        throttledHostIds.remove(hostId);
    }

    /** Takes note whether runs on a host work at less than their full speed; called after each of its answers. */
    void updateThrottled(HostSession session) {
        boolean anyThrottled = session.runUsages().stream().anyMatch(usage -> usage.speedPercent() < FULL_PERCENT);
        if (anyThrottled) {
            throttledHostIds.add(session.host().id());
        } else {
            throttledHostIds.remove(session.host().id());
        }
    }

    /** Learns how the runs on a host bear each other, and sets the pace of those that fill. */
    void adjustThrottling(WorkflowState state, HostSession session, long nowNanos) {
        List<LatencyCriticalRun> latencyCritical = latencyCriticalRuns(state, session);
        List<BestEffortRun> bestEffort = bestEffortRuns(state, session);
        session.setUsageMonitored(!latencyCritical.isEmpty() && !bestEffort.isEmpty());
        Map<RunId, Integer> speedPercents =
                controller.adjustSpeeds(session.host().id(), latencyCritical, bestEffort, nowNanos);
        if (!speedPercents.isEmpty()) {
            LOG.log(WorkflowEvent.THROTTLING_CHANGED, session.host().id(), latencyCritical, bestEffort, speedPercents);
            speedPercents.forEach(session::setSpeed);
        }
    }

    static List<LatencyCriticalRun> latencyCriticalRuns(WorkflowState state, HostSession session) {
        List<LatencyCriticalRun> latencyCritical = new ArrayList<>();
        for (RunUsage usage : session.runUsages()) {
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
        for (RunUsage usage : session.runUsages()) {
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

    /** Returns the runs that are held back for the sake of others and that lose little when they are moved. */
    List<ThrottledRun> throttledRuns(WorkflowState state, Collection<HostSession> sessions, long nowNanos) {
        List<ThrottledRun> throttled = new ArrayList<>();
        if (throttledHostIds.isEmpty()) {
            return throttled;
        }
        for (HostSession session : sessions) {
            if (!throttledHostIds.contains(session.host().id())) {
                continue;
            }
            for (RunUsage usage : session.runUsages()) {
                state.step(usage.run().task().step())
                        .filter(step -> ThrottledRunPolicy.shouldMigrate(step.specification(), usage, nowNanos))
                        .ifPresent(step ->
                                throttled.add(new ThrottledRun(new ActiveRun(usage.run(), session.host(), ""), step)));
            }
        }
        return throttled;
    }
}
