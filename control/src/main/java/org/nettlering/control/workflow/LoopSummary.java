package org.nettlering.control.workflow;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import org.nettlering.control.workflow.LatencyRecorder.Summary;

/**
 * How the leader's loop did since the summary before.
 *
 * <p>For logs; decides nothing. Immutable and thread-safe.
 *
 * @param timerDelay by how much the loop's timer was late, not null
 * @param run whole runs of the loop, not null
 * @param plan plans of starts, not null
 * @param lockWait waits for the lock of the jobs, those alone that found it taken, not null
 * @param log from proposing a batch to its being logged and applied, not null
 * @param firstStart from the acceptance of a job to its first start being logged, not null
 * @param startToOrder from a logged start to its order going out, not null
 * @param startAnswer from sending a start to what came of it, not null
 * @param lookAnswer from sending a look to what came of it, its own wait included, not null
 * @param inFlight orders that are on their way, by kind, not null
 * @param outcomes what came of orders, by kind and outcome, not null
 */
record LoopSummary(
        Summary timerDelay,
        Summary run,
        Summary plan,
        Summary lockWait,
        Summary log,
        Summary firstStart,
        Summary startToOrder,
        Summary startAnswer,
        Summary lookAnswer,
        SortedMap<String, Integer> inFlight,
        SortedMap<String, Long> outcomes) {
    /** Copies the maps. */
    LoopSummary {
        inFlight = Collections.unmodifiableSortedMap(new TreeMap<>(inFlight));
        outcomes = Collections.unmodifiableSortedMap(new TreeMap<>(outcomes));
    }
}
