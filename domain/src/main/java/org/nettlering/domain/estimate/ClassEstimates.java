package org.nettlering.domain.estimate;

import java.util.LinkedHashMap;
import java.util.Map;
import org.nettlering.domain.task.JobSpecification;
import org.nettlering.domain.task.Resources;

/**
 * Corrects declared sizes, draws and run times by what was measured of the class.
 *
 * <p>Until enough was measured the declaration stands. A draw below the declared one is believed only after many samples,
 * because the cap rests on it. Not thread-safe.
 */
public final class ClassEstimates {
    /** How many classes are kept; the one that was heard of longest ago goes first. */
    private static final int MAX_CLASSES = 2_000;

    /** Estimates by class, the one that was heard of longest ago first. */
    private final Map<String, ClassEstimate> classes = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Returns estimates that know nothing yet.
     *
     * @return new estimates, never null
     */
    public static ClassEstimates empty() {
        return new ClassEstimates();
    }

    private ClassEstimates() {}

    /**
     * Takes in a measurement of a task at full speed.
     *
     * @param workClass the task's class, not null
     * @param millicores processor use
     * @param memoryMebibytes memory use
     * @param milliwatts draw
     */
    public void addUsage(String workClass, long millicores, long memoryMebibytes, long milliwatts) {
        estimateFor(workClass).addUsage(millicores, memoryMebibytes, milliwatts);
    }

    /**
     * Takes in the run time of a task that completed without interruption.
     *
     * @param workClass the task's class, not null
     * @param millis how long it ran
     */
    public void addRunTime(String workClass, long millis) {
        estimateFor(workClass).addRunTime(millis);
    }

    /**
     * Returns what to commit for a job.
     *
     * @param job the job, not null
     * @return the learned size, or the declared one, never null
     */
    public Resources resources(JobSpecification job) {
        ClassEstimate estimate = classes.get(job.workClass());
        return estimate == null ? job.declaredResources() : estimate.resources(job.declaredResources());
    }

    /**
     * Returns the draw to commit for a job at full speed.
     *
     * @param job the job, not null
     * @return milliwatts
     */
    public long powerMilliwatts(JobSpecification job) {
        ClassEstimate estimate = classes.get(job.workClass());
        return estimate == null ? job.powerMilliwatts() : estimate.powerMilliwatts(job.powerMilliwatts());
    }

    /**
     * Returns how long a job is expected to run.
     *
     * @param job the job, not null
     * @return milliseconds, zero if nothing is known
     */
    public long runTimeMillis(JobSpecification job) {
        ClassEstimate estimate = classes.get(job.workClass());
        return estimate == null ? job.declaredRunTimeMillis() : estimate.runTimeMillis(job.declaredRunTimeMillis());
    }

    /**
     * Tells whether the size of a class was measured often enough.
     *
     * @param workClass the class, not null
     * @return true when the learned size is used
     */
    public boolean hasLearnedResources(String workClass) {
        ClassEstimate estimate = classes.get(workClass);
        return estimate != null && estimate.hasLearnedResources();
    }

    private ClassEstimate estimateFor(String workClass) {
        ClassEstimate estimate = classes.computeIfAbsent(workClass, name -> new ClassEstimate());
        if (classes.size() > MAX_CLASSES) {
            classes.remove(classes.keySet().iterator().next());
        }
        return estimate;
    }
}
