package org.nettlering.benchmarks.placement.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.nettlering.domain.task.TerminationReason;
import org.nettlering.domain.worker.WorkerCommand;
import org.nettlering.domain.worker.WorkerReport;

/**
 * A worker that keeps the rules of docs/design/placement.md.
 *
 * <p>Not thread-safe.
 */
final class ModelWorker {
    /** How often a batch task writes a checkpoint on its own. */
    private static final long CHECKPOINT_INTERVAL_MILLIS = 60_000;

    /** How long a worker that fails everything runs a task before it fails. */
    private static final long FAILURE_MILLIS = 2_000;

    /** How often usage is measured. */
    private static final long MEASURE_INTERVAL_MILLIS = 2_000;

    /** The id. */
    final String id;

    /** The rack. */
    final String rack;

    /** The failure domain. */
    final String failureDomain;

    /** How fast its clock runs against the true time. */
    private final double clockRate;

    /** Checkpoints and true sizes. */
    private final World world;

    /** Noise and lags. */
    private final Random random;

    /** Tasks that run, by job. */
    private final Map<String, ModelTask> running = new LinkedHashMap<>();

    /** Ends that were not acknowledged. */
    private final Map<String, WorkerReport.Terminated> ended = new LinkedHashMap<>();

    /** The highest epoch that ran or was told to stop, by job. */
    private final Map<String, Long> seenEpochs = new HashMap<>();

    /** Measurements that are not reported yet, and when they are. */
    private final List<LateUsage> usage = new ArrayList<>();

    /** The start of its process. */
    long incarnation = 1;

    /** The sequence of the last report. */
    private long sequence;

    /** Whether its process runs. */
    boolean alive = true;

    /** Whether it fails everything but services. */
    boolean failing;

    /** When its lease ends, in true time. */
    private double leaseEndMillis;

    /** When usage is measured next. */
    private long nextMeasureMillis;

    /** The slowdown of its service now, zero if it runs none. */
    double serviceSlowdown;

    ModelWorker(String id, String rack, String failureDomain, double clockRate, World world, long seed) {
        this.id = id;
        this.rack = rack;
        this.failureDomain = failureDomain;
        this.clockRate = clockRate;
        this.world = world;
        this.random = new Random(seed);
        this.nextMeasureMillis = random.nextInt((int) MEASURE_INTERVAL_MILLIS);
    }

    Collection<ModelTask> running() {
        return running.values();
    }

    /** Lets a step of time pass. */
    void step(long nowMillis, long stepMillis, double load) {
        if (!alive) {
            serviceSlowdown = 0;
            return;
        }
        if (nowMillis >= leaseEndMillis && !running.isEmpty()) {
            new ArrayList<>(running.values())
                    .forEach(task -> end(task, TerminationReason.LEASE_EXPIRED, "lease ended", true));
        }
        double contention = contention(load);
        for (ModelTask task : new ArrayList<>(running.values())) {
            advance(task, nowMillis, stepMillis, contention);
        }
        endOverMemory();
        serviceSlowdown = serviceSlowdown(load, contention);
        if (nowMillis >= nextMeasureMillis) {
            nextMeasureMillis = nowMillis + MEASURE_INTERVAL_MILLIS;
            measure(nowMillis, load);
        }
    }

    /** Ends everything without a word, as a host that fails. */
    void crash() {
        alive = false;
        running.values().forEach(task -> world.lostToFaults += task.unsavedWork());
        running.clear();
        ended.clear();
        usage.clear();
        seenEpochs.clear();
    }

    void restart() {
        crash();
        alive = true;
        incarnation++;
        sequence = 0;
        leaseEndMillis = 0;
    }

    WorkerReport report(long nowMillis) {
        List<WorkerReport.Usage> due = new ArrayList<>();
        usage.removeIf(late -> {
            boolean isDue = late.reportMillis() <= nowMillis;
            if (isDue) {
                due.add(late.usage());
            }
            return isDue;
        });
        List<WorkerReport.Running> tasks = running.values().stream()
                .map(task ->
                        new WorkerReport.Running(task.job.jobId(), task.epoch, task.throttleVersion, task.checkpoint))
                .toList();
        return new WorkerReport(
                id,
                incarnation,
                ++sequence,
                Catalog.WORKER_SIZE,
                rack,
                failureDomain,
                Catalog.IDLE_MILLIWATTS,
                tasks,
                List.copyOf(ended.values()),
                due);
    }

    /** Takes in the response to a report of this incarnation. */
    void receive(List<WorkerCommand> commands, long leaseMillis, long sentMillis, long nowMillis) {
        if (!alive || (nowMillis - sentMillis) * clockRate >= leaseMillis) {
            return;
        }
        leaseEndMillis = Math.max(leaseEndMillis, sentMillis + leaseMillis / clockRate);
        for (WorkerCommand command : commands) {
            obey(command, nowMillis);
        }
    }

    /** Returns the true draw. */
    double milliwatts(double load) {
        if (!alive) {
            return 0;
        }
        double sum = Catalog.IDLE_MILLIWATTS;
        for (ModelTask task : running.values()) {
            sum += task.truth.milliwatts() * (task.job.serviceTask() ? load : 1) * task.throttlePercent / 100;
        }
        return sum;
    }

    private void obey(WorkerCommand command, long nowMillis) {
        switch (command) {
            case WorkerCommand.Start start -> start(start, nowMillis);
            case WorkerCommand.Stop stop -> stop(stop);
            case WorkerCommand.Checkpoint checkpoint -> {
                ModelTask task = running.get(checkpoint.jobId());
                if (task != null && task.epoch == checkpoint.epoch()) {
                    task.save(world, nowMillis);
                }
            }
            case WorkerCommand.Throttle throttle -> {
                ModelTask task = running.get(throttle.jobId());
                if (task != null
                        && task.epoch == throttle.epoch()
                        && throttle.throttleVersion() > task.throttleVersion) {
                    task.throttlePercent = throttle.speedPercent();
                    task.throttleVersion = throttle.throttleVersion();
                }
            }
            case WorkerCommand.Acknowledge acknowledge -> ended.remove(acknowledge.jobId() + "/" + acknowledge.epoch());
        }
    }

    private void start(WorkerCommand.Start start, long nowMillis) {
        String jobId = start.job().jobId();
        if (seenEpochs.getOrDefault(jobId, 0L) >= start.epoch()) {
            if (!running.containsKey(jobId)) {
                ended.putIfAbsent(
                        jobId + "/" + start.epoch(),
                        new WorkerReport.Terminated(
                                jobId,
                                start.epoch(),
                                TerminationReason.LEASE_EXPIRED,
                                start.resumeCheckpoint(),
                                "ran before"));
            }
            return;
        }
        seenEpochs.put(jobId, start.epoch());
        running.put(
                jobId,
                new ModelTask(
                        start.job(),
                        start.epoch(),
                        world.truth(jobId),
                        start.resumeCheckpoint(),
                        world.savedProgress(jobId, start.resumeCheckpoint()),
                        start.speedPercent(),
                        start.throttleVersion(),
                        nowMillis));
    }

    private void stop(WorkerCommand.Stop stop) {
        ModelTask task = running.get(stop.jobId());
        if (task != null && task.epoch == stop.epoch()) {
            end(task, TerminationReason.STOPPED, "stopped", false);
            return;
        }
        seenEpochs.merge(stop.jobId(), stop.epoch(), Math::max);
        ended.putIfAbsent(
                stop.jobId() + "/" + stop.epoch(),
                new WorkerReport.Terminated(
                        stop.jobId(), stop.epoch(), TerminationReason.STOPPED, 0, "never started here"));
    }

    private void advance(ModelTask task, long nowMillis, long stepMillis, double contention) {
        if (task.job.serviceTask()) {
            return;
        }
        if (failing && nowMillis - task.startedMillis >= FAILURE_MILLIS) {
            end(task, TerminationReason.FAILED, "exit code 1", true);
            return;
        }
        task.progressMillis += stepMillis * contention * task.throttlePercent / 100;
        if (task.progressMillis >= task.truth.runMillis()) {
            task.savedMillis = task.progressMillis;
            end(task, TerminationReason.COMPLETED, "", true);
            return;
        }
        if (nowMillis - task.savedAtMillis >= CHECKPOINT_INTERVAL_MILLIS) {
            task.save(world, nowMillis);
        }
    }

    private void end(ModelTask task, TerminationReason reason, String detail, boolean fault) {
        if (fault) {
            world.lostToFaults += task.unsavedWork();
        } else {
            world.lostToStops += task.unsavedWork();
        }
        running.remove(task.job.jobId());
        ended.put(
                task.job.jobId() + "/" + task.epoch,
                new WorkerReport.Terminated(task.job.jobId(), task.epoch, reason, task.checkpoint, detail));
    }

    /** The kernel ends the largest batch task when memory is used up. */
    private void endOverMemory() {
        double used = running.values().stream()
                .mapToDouble(task -> task.truth.memoryMebibytes())
                .sum();
        if (used <= Catalog.WORKER_SIZE.memoryMebibytes()) {
            return;
        }
        running.values().stream()
                .filter(task -> !task.job.serviceTask())
                .max((one, other) -> Double.compare(one.truth.memoryMebibytes(), other.truth.memoryMebibytes()))
                .ifPresent(task -> end(task, TerminationReason.FAILED, "out of memory", true));
    }

    /** Returns the share of its speed that each batch task gets when processors do not suffice. */
    private double contention(double load) {
        double wanted = 0;
        for (ModelTask task : running.values()) {
            wanted += millicores(task, load);
        }
        return Math.min(1, Catalog.WORKER_SIZE.millicores() / Math.max(1, wanted));
    }

    private double serviceSlowdown(double load, double contention) {
        boolean serves = false;
        double excess = 0;
        for (ModelTask task : running.values()) {
            serves |= task.job.serviceTask();
            excess += task.truth.workClass().excessPerProcessor() * millicores(task, load) / 1000;
        }
        return serves ? (1000 + excess * (0.5 + load)) / contention : 0;
    }

    private static double millicores(ModelTask task, double load) {
        return task.truth.millicores() * (task.job.serviceTask() ? load : task.throttlePercent / 100.0);
    }

    private void measure(long nowMillis, double load) {
        long reportMillis = nowMillis + 1_000 + random.nextInt(5_000);
        for (ModelTask task : running.values()) {
            double noise = 1 + 0.05 * random.nextGaussian();
            int slowdown = task.job.serviceTask() ? (int) (serviceSlowdown * noise) : 0;
            usage.add(new LateUsage(
                    reportMillis,
                    new WorkerReport.Usage(
                            task.job.jobId(),
                            task.epoch,
                            nowMillis,
                            (long) (millicores(task, load) * (1 + 0.05 * random.nextDouble())),
                            (long) task.truth.memoryMebibytes(),
                            (long) (task.truth.milliwatts()
                                    * (task.job.serviceTask() ? load : task.throttlePercent / 100.0)),
                            slowdown)));
        }
    }

    /** A measurement, and when it is reported. */
    private record LateUsage(long reportMillis, WorkerReport.Usage usage) {}
}
