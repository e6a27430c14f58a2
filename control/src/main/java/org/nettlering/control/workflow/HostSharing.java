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
final class HostSharing {
    /** The percent of a task that lasts and is at work. */
    private static final int WHOLE_PERCENT = 100;

    private static final EventLogger LOG = EventLogger.of(HostSharing.class);

    /** What was learned of the images that share hosts. */
    private final ColocationController guard = ColocationController.create();

    /** The hosts with runs that were slowed down, by the id of their life. */
    private final Set<String> slowed = new HashSet<>();

    HostSharing() {}

    /** Returns what was learned of the images that share hosts. */
    ColocationController guard() {
        return guard;
    }

    /** Forgets a host. */
    void forget(String hostId) {
        guard.removeHost(hostId);
        slowed.remove(hostId);
    }

    /** Takes note whether runs on a host work at less than their full speed; called after each of its answers. */
    void noteSlowed(HostSession session) {
        boolean anySlow = session.runUsages().stream().anyMatch(load -> load.speedPercent() < WHOLE_PERCENT);
        if (anySlow) {
            slowed.add(session.host().id());
        } else {
            slowed.remove(session.host().id());
        }
    }

    /** Learns how the runs on a host bear each other, and sets the pace of those that fill. */
    void share(WorkflowState state, HostSession session, long nowNanos) {
        List<LatencyCriticalRun> serving = servingRuns(state, session);
        List<BestEffortRun> filling = fillingRuns(state, session);
        session.setUsageMonitored(!serving.isEmpty() && !filling.isEmpty());
        Map<RunId, Integer> paces = guard.adjustSpeeds(session.host().id(), serving, filling, nowNanos);
        if (!paces.isEmpty()) {
            LOG.log(WorkflowEvent.PACES_CHANGED, session.host().id(), serving, filling, paces);
            paces.forEach(session::setSpeed);
        }
    }

    static List<LatencyCriticalRun> servingRuns(WorkflowState state, HostSession session) {
        List<LatencyCriticalRun> serving = new ArrayList<>();
        for (RunUsage load : session.runUsages()) {
            state.step(load.run().task().step())
                    .map(StepProgress::specification)
                    .filter(step -> step.isLatencyCritical() && load.progressPercent() == WHOLE_PERCENT)
                    .ifPresent(step -> serving.add(new LatencyCriticalRun(
                            load.run(),
                            step.serviceLevel().image(),
                            step.serviceLevel().latencyTargetMillis(),
                            load.load())));
        }
        return serving;
    }

    private static List<BestEffortRun> fillingRuns(WorkflowState state, HostSession session) {
        List<BestEffortRun> filling = new ArrayList<>();
        for (RunUsage load : session.runUsages()) {
            state.step(load.run().task().step())
                    .map(StepProgress::specification)
                    .filter(step -> step.has(StepTrait.BEST_EFFORT))
                    .ifPresent(step -> filling.add(new BestEffortRun(
                            load.run(),
                            step.serviceLevel().image(),
                            step.demand().millicores(),
                            load.load(),
                            load.speedPercent())));
        }
        return filling;
    }

    /** Returns the runs that are held back for the sake of others and that lose little when they are moved. */
    List<ThrottledRun> heldBackRuns(WorkflowState state, Collection<HostSession> sessions, long nowNanos) {
        List<ThrottledRun> heldBack = new ArrayList<>();
        if (slowed.isEmpty()) {
            return heldBack;
        }
        for (HostSession session : sessions) {
            if (!slowed.contains(session.host().id())) {
                continue;
            }
            for (RunUsage load : session.runUsages()) {
                state.step(load.run().task().step())
                        .filter(step -> ThrottledRunPolicy.shouldMigrate(step.specification(), load, nowNanos))
                        .ifPresent(step ->
                                heldBack.add(new ThrottledRun(new ActiveRun(load.run(), session.host(), ""), step)));
            }
        }
        return heldBack;
    }
}
