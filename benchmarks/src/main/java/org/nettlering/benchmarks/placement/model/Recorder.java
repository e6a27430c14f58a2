package org.nettlering.benchmarks.placement.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskPhase;

/** Records what a run measures. Not thread-safe. */
final class Recorder {
    /** Slowdowns of services in thousandths, one sample an instance and second. */
    private final Histogram slowdowns = new Histogram(1_000_000, 3);

    /** When each job first ran. */
    private final Map<String, Long> firstRun = new HashMap<>();

    /** The largest true draw. */
    private double peakTrueMilliwatts;

    /** How long the committed draw was above an unchanged cap. */
    private long aboveCapMillis;

    /** How long the committed draw was above the lowered cap. */
    private long aboveLoweredCapMillis;

    void slowdown(double thousandths) {
        slowdowns.recordValue(Math.clamp((long) thousandths, 1, 1_000_000));
    }

    void runs(ModelTask task, long nowMillis) {
        firstRun.putIfAbsent(task.job.jobId(), nowMillis);
    }

    void power(long committed, double actual, long cap, boolean isLowered, long stepMillis) {
        peakTrueMilliwatts = Math.max(peakTrueMilliwatts, actual);
        if (committed > cap && isLowered) {
            aboveLoweredCapMillis += stepMillis;
        }
        if (committed > cap && !isLowered) {
            aboveCapMillis += stepMillis;
        }
    }

    Measures measures(ModelLeader leader, World world, List<Task> tasks, long horizonMillis) {
        double work = 0;
        int done = 0;
        int evictions = 0;
        int losses = 0;
        int missed = 0;
        int deadlines = 0;
        int unrunnable = 0;
        List<Long> urgent = new ArrayList<>();
        List<Long> waits = new ArrayList<>();
        for (Task task : tasks) {
            evictions += task.evictions();
            losses += task.workerLosses();
            unrunnable += task.phase() == TaskPhase.UNRUNNABLE ? 1 : 0;
            World.TrueJob truth = world.truth(task.job().jobId());
            boolean isDone = task.phase() == TaskPhase.DONE;
            if (isDone) {
                done++;
                work += truth.runMillis() / 1000 * truth.millicores() / 1000;
            }
            long due = task.job().deadlineMillis();
            boolean counts = due > 0 && due <= horizonMillis && task.phase() != TaskPhase.CANCELLED;
            if (counts && task.phase() != TaskPhase.UNRUNNABLE) {
                deadlines++;
                missed += isDone && task.phaseStartMillis() <= due ? 0 : 1;
            }
            long wait = firstRun.getOrDefault(task.job().jobId(), horizonMillis) - task.submittedMillis();
            boolean ran = firstRun.containsKey(task.job().jobId());
            if (ran || task.phase().isSchedulable()) {
                waits.add(wait);
                if (task.job().workClass().equals(Catalog.URGENT_CLASS)) {
                    urgent.add(wait);
                }
            }
        }
        return new Measures(
                slowdowns.getValueAtPercentile(50) / 1000.0,
                slowdowns.getValueAtPercentile(99) / 1000.0,
                work,
                done,
                evictions,
                losses,
                world.lostToStops / 1000,
                world.lostToFaults / 1000,
                missed,
                deadlines,
                leader.state.peakMilliwatts(),
                peakTrueMilliwatts,
                aboveCapMillis,
                aboveLoweredCapMillis,
                quantile(urgent, 0.99),
                quantile(waits, 0.5),
                unrunnable,
                leader.refusals);
    }

    private static long quantile(List<Long> values, double share) {
        if (values.isEmpty()) {
            return 0;
        }
        Collections.sort(values);
        return values.get((int) Math.min(values.size() - 1, Math.floor(values.size() * share)));
    }
}
