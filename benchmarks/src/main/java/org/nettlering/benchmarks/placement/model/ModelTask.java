package org.nettlering.benchmarks.placement.model;

import org.nettlering.domain.task.JobSpecification;

/** A task that runs on a modelled worker. Not thread-safe. */
final class ModelTask {
    /** What was submitted. */
    final JobSpecification job;

    /** The epoch that runs. */
    final long epoch;

    /** What is true of it. */
    final World.TrueJob truth;

    /** The checkpoint that it started from or wrote last. */
    long checkpoint;

    /** How much of its run time is done, in milliseconds at full speed. */
    double progressMillis;

    /** How much was done at the last checkpoint. */
    double savedMillis;

    /** Its speed, in percent. */
    int throttlePercent;

    /** The version of the speed. */
    long throttleVersion;

    /** When it started or last wrote a checkpoint. */
    long savedAtMillis;

    /** When it started. */
    final long startedMillis;

    ModelTask(
            JobSpecification job,
            long epoch,
            World.TrueJob truth,
            long checkpoint,
            double progressMillis,
            int throttlePercent,
            long throttleVersion,
            long nowMillis) {
        this.job = job;
        this.epoch = epoch;
        this.truth = truth;
        this.checkpoint = checkpoint;
        this.progressMillis = progressMillis;
        this.savedMillis = progressMillis;
        this.throttlePercent = throttlePercent;
        this.throttleVersion = throttleVersion;
        this.savedAtMillis = nowMillis;
        this.startedMillis = nowMillis;
    }

    void save(World world, long nowMillis) {
        checkpoint++;
        savedMillis = progressMillis;
        savedAtMillis = nowMillis;
        world.save(job.jobId(), checkpoint, progressMillis);
    }

    /** Returns the processor time that is lost if it stops now. */
    double unsavedWork() {
        return (progressMillis - savedMillis) * truth.millicores() / 1000;
    }
}
