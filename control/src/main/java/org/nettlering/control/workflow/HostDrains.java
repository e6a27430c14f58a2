package org.nettlering.control.workflow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.Evacuations;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.drain.DrainDecision;
import org.nettlering.domain.workflow.drain.DrainPolicy;
import org.nettlering.domain.workflow.drain.DrainingRun;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.domain.workflow.host.HostSession;
import org.nettlering.domain.workflow.host.RunUsage;
import org.nettlering.domain.workflow.runtime.RunTimeModel;

/**
 * The hosts of one leadership that are to be emptied: those that drain and those of evacuated failure domains.
 *
 * <p>Keeps no state. Thread-safe if the state and the sessions are guarded.
 */
final class HostDrains {
    /** The largest age of a response that shows a run at work; a poll that waits for a termination takes a second. */
    private static final Duration MAX_RESPONSE_AGE = Duration.ofMillis(2_500);

    private static final int FULL_PERCENT = 100;

    private HostDrains() {}

    /** Returns whether a host is to start nothing, because it drains or its failure domain is evacuated. */
    static boolean isClosed(Evacuations evacuations, HostSession session) {
        return session.latestHeartbeat()
                .filter(heartbeat -> heartbeat.draining() || evacuations.includes(heartbeat.failureDomain()))
                .isPresent();
    }

    /** Returns the runs that move away from their hosts as soon as their steps and the capacity elsewhere allow. */
    static List<DrainingRun> movingRuns(WorkflowState state, Collection<HostSession> sessions, RunTimeModel runTimes) {
        List<DrainingRun> moving = new ArrayList<>();
        for (HostSession session : sessions) {
            drainingRuns(state, session, runTimes).stream()
                    .filter(run -> run.decision() == DrainDecision.MOVES)
                    .forEach(moving::add);
        }
        return moving;
    }

    private static List<DrainingRun> drainingRuns(WorkflowState state, HostSession session, RunTimeModel runTimes) {
        HostHeartbeat heartbeat = session.latestHeartbeat().orElse(null);
        if (heartbeat == null || !isClosed(state.evacuations(), session)) {
            return List.of();
        }
        long leftMillis =
                heartbeat.draining() ? heartbeat.drainLeftMillis() : DrainPolicy.EVACUATION_PATIENCE.toMillis();
        List<DrainingRun> runs = new ArrayList<>();
        for (RunUsage usage : session.runs().usages()) {
            state.step(usage.run().task().step())
                    .map(step -> new DrainingRun(
                            new ActiveRun(usage.run(), session.host(), ""),
                            step,
                            DrainPolicy.decide(
                                    step.specification(),
                                    step.estimateRunTime(runTimes).expectedMillis(),
                                    usage.progressPercent(),
                                    leftMillis),
                            heartbeat.draining()))
                    .ifPresent(runs::add);
        }
        return runs;
    }

    /** Returns whether a recent response of its host shows a run of a long-running task at work. */
    static boolean isAtWork(Map<String, HostSession> sessions, ActiveRun run, long nowNanos) {
        HostSession session = sessions.get(run.host().id());
        return session != null
                && session.hasRespondedWithin(MAX_RESPONSE_AGE, nowNanos)
                && session.runs().usages().stream()
                        .anyMatch(usage -> usage.run().equals(run.run()) && usage.progressPercent() == FULL_PERCENT);
    }

    /** Returns how many runs are left on the hosts that are to be emptied, by failure domain and decision. */
    static Map<String, Map<DrainDecision, Integer>> progress(
            WorkflowState state, Collection<HostSession> sessions, RunTimeModel runTimes) {
        Map<String, Map<DrainDecision, Integer>> byDomain = new TreeMap<>();
        state.evacuations()
                .failureDomains()
                .forEach(domain -> byDomain.put(domain, new EnumMap<>(DrainDecision.class)));
        for (HostSession session : sessions) {
            Optional<String> domain = session.latestHeartbeat().map(HostHeartbeat::failureDomain);
            for (DrainingRun run : drainingRuns(state, session, runTimes)) {
                byDomain.computeIfAbsent(domain.orElse(""), key -> new EnumMap<>(DrainDecision.class))
                        .merge(run.decision(), 1, Integer::sum);
            }
        }
        return byDomain;
    }
}
