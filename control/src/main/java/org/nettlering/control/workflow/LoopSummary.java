package org.nettlering.control.workflow;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.nettlering.control.workflow.LatencyRecorder.Summary;

/**
 * Latencies and command counts of the leader's loop since the previous summary.
 *
 * <p>For logs only. The names of the fields are made of those of the components. Immutable and thread-safe.
 *
 * @param timerDelay by how much the timer of the loop was late, not null
 * @param run the duration of iterations of the loop, not null
 * @param plan the duration of planning which runs to start, not null
 * @param lockWait the waits for the lock of the state machine; counts only attempts that found it held, not null
 * @param log the time from proposing a batch until it is committed and applied, not null
 * @param firstStart the time from accepting a job until a host has shown that it began, not null
 * @param startToOrder the time from committing the start of a run until its start command is sent, not null
 * @param startAnswer the time from sending a start command until it finishes, with a response or without, not null
 * @param lookAnswer the time from sending a poll until it finishes, including the time for which the host delays its
 *     response until a run terminates, not null
 * @param inFlight the number of commands in flight by kind, not null
 * @param outcomes the number of finished commands by kind and outcome, not null
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

    /** Returns the fields of the log line by name, with units. */
    Map<String, Object> toFields() {
        Map<String, Object> fields = new LinkedHashMap<>();
        addFields(fields, "timerDelay", timerDelay);
        addFields(fields, "run", run);
        addFields(fields, "plan", plan);
        addFields(fields, "lockWait", lockWait);
        addFields(fields, "log", log);
        addFields(fields, "firstStart", firstStart);
        addFields(fields, "startToOrder", startToOrder);
        addFields(fields, "startAnswer", startAnswer);
        addFields(fields, "lookAnswer", lookAnswer);
        inFlight.forEach((kind, count) -> fields.put("inFlight." + kind, count));
        outcomes.forEach((outcome, count) -> fields.put("outcomes." + outcome, count));
        return fields;
    }

    private static void addFields(Map<String, Object> fields, String name, Summary summary) {
        fields.put(name + "Count", summary.count());
        fields.put(name + "MeanMicros", summary.meanMicros());
        fields.put(name + "MaxMicros", summary.maxMicros());
    }
}
