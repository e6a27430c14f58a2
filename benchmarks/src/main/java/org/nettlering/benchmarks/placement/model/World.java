package org.nettlering.benchmarks.placement.model;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.nettlering.domain.task.JobSpecification;

/** What is true of the jobs: their sizes, their saved progress and how often they completed. Not thread-safe. */
final class World {
    /** Random numbers for true sizes. */
    private final Random random;

    /** True sizes by job. */
    private final Map<String, TrueJob> jobs = new HashMap<>();

    /** Saved progress by job and checkpoint. */
    private final Map<String, Map<Long, Double>> saved = new HashMap<>();

    /** Work that was done and lost because a task was stopped, in processor milliseconds. */
    double lostToStops;

    /** Work that was done and lost for other reasons, in processor milliseconds. */
    double lostToFaults;

    World(long seed) {
        random = new Random(seed);
    }

    /** Makes up the truth about a job; called once a job, in the order of submission. */
    TrueJob create(JobSpecification job, WorkClass workClass) {
        TrueJob truth = new TrueJob(
                workClass,
                workClass.millicores() * spread(0.15),
                workClass.memoryMebibytes() * spread(0.1),
                workClass.milliwatts() * spread(0.05),
                workClass.runMillis() * spread(0.4));
        jobs.put(job.jobId(), truth);
        return truth;
    }

    TrueJob truth(String jobId) {
        TrueJob truth = jobs.get(jobId);
        if (truth == null) {
            throw new IllegalStateException("job " + jobId + " was never created");
        }
        return truth;
    }

    void save(String jobId, long checkpoint, double progressMillis) {
        saved.computeIfAbsent(jobId, id -> new HashMap<>()).put(checkpoint, progressMillis);
    }

    double savedProgress(String jobId, long checkpoint) {
        return checkpoint == 0 ? 0 : saved.getOrDefault(jobId, Map.of()).getOrDefault(checkpoint, 0.0);
    }

    private double spread(double share) {
        return Math.exp(share * Math.clamp(random.nextGaussian(), -2.5, 2.5));
    }

    /** What is true of one job. */
    record TrueJob(
            WorkClass workClass, double millicores, double memoryMebibytes, double milliwatts, double runMillis) {}
}
