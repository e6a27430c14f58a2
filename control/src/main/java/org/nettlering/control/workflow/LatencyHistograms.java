package org.nettlering.control.workflow;

import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * The latency histograms of the leader's loop.
 *
 * @param timerDelay the delay of the loop's timer, not null
 * @param loopRun the duration of complete runs of the loop, not null
 * @param plan the duration of planning starts, not null
 * @param lockWait the waits for the lock of the state machine, not null
 * @param commit the time from proposing a batch until it is committed and applied, not null
 * @param firstStart the time from accepting a job until a host has shown that it began, not null
 * @param startToSend the time from committing a start until its command is sent, not null
 */
record LatencyHistograms(
        LatencyRecorder timerDelay,
        LatencyRecorder loopRun,
        LatencyRecorder plan,
        LatencyRecorder lockWait,
        LatencyRecorder commit,
        LatencyRecorder firstStart,
        LatencyRecorder startToSend) {
    private static final double[] BUCKET_BOUNDS_SECONDS = {
        0.000_1, 0.000_3, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30
    };

    static LatencyHistograms registerIn(PrometheusRegistry registry) {
        return new LatencyHistograms(
                recorder(registry, "nettlering_leader_timer_delay_seconds", "By how much the loop's timer was late."),
                recorder(registry, "nettlering_leader_run_seconds", "Duration of a run of the leader's loop."),
                recorder(registry, "nettlering_leader_plan_seconds", "Duration of a plan of starts."),
                recorder(
                        registry,
                        "nettlering_leader_lock_wait_seconds",
                        "Waits for the lock of the jobs when it was taken."),
                recorder(registry, "nettlering_leader_log_seconds", "From proposing a batch to its being applied."),
                recorder(
                        registry,
                        "nettlering_leader_first_start_seconds",
                        "From accepting a job to its first logged start."),
                recorder(
                        registry,
                        "nettlering_leader_start_to_order_seconds",
                        "From a logged start to its order going out."));
    }

    private static LatencyRecorder recorder(PrometheusRegistry registry, String name, String help) {
        return LatencyRecorder.of(histogram(name, help).register(registry));
    }

    /** Returns the builder of a histogram with the buckets shared by all latencies of the loop. */
    static Histogram.Builder histogram(String name, String help) {
        return Histogram.builder().name(name).help(help).classicOnly().classicUpperBounds(BUCKET_BOUNDS_SECONDS);
    }
}
