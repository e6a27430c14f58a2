package org.nettlering.domain.estimate;

import java.util.LinkedHashMap;
import java.util.Map;
import org.nettlering.domain.task.JobSpecification;
import org.nettlering.domain.task.Resources;

/**
 * Estimates the resource use, power draw and run time of jobs from the measurements of their class.
 *
 * <p>The declared values are used until enough samples exist. A power draw below the declared one is used only after many
 * samples, because an estimate that is too low could break the site's power cap. Not thread-safe.
 */
public final class ClassEstimates {
    /** The number of classes kept; above it the least recently used one is evicted. */
    private static final int MAX_CLASSES = 2_000;

    /** Estimates by class, the least recently used one first. */
    private final Map<String, ClassEstimate> classes = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Creates estimates without any samples.
     *
     * @return new estimates, never null
     */
    public static ClassEstimates empty() {
        return new ClassEstimates();
    }

    private ClassEstimates() {}

    /**
     * Adds a usage sample of an unthrottled task.
     *
     * @param workClass the task's class, not null
     * @param millicores processor use, in thousandths of a core
     * @param memoryMebibytes memory use, in MiB
     * @param milliwatts power draw, in milliwatts
     */
    public void addUsage(String workClass, long millicores, long memoryMebibytes, long milliwatts) {
        estimateFor(workClass).addUsage(millicores, memoryMebibytes, milliwatts);
    }

    /**
     * Adds the run time of a task that completed without interruption.
     *
     * @param workClass the task's class, not null
     * @param millis the run time, in milliseconds
     */
    public void addRunTime(String workClass, long millis) {
        estimateFor(workClass).addRunTime(millis);
    }

    /**
     * Returns the resources to allocate to a job.
     *
     * @param job the job, not null
     * @return the estimate, or the declared resources while samples are too few, never null
     */
    public Resources resources(JobSpecification job) {
        ClassEstimate estimate = classes.get(job.workClass());
        return estimate == null ? job.declaredResources() : estimate.resources(job.declaredResources());
    }

    /**
     * Returns the power to allocate to a job that runs unthrottled.
     *
     * @param job the job, not null
     * @return the power, in milliwatts
     */
    public long powerMilliwatts(JobSpecification job) {
        ClassEstimate estimate = classes.get(job.workClass());
        return estimate == null ? job.powerMilliwatts() : estimate.powerMilliwatts(job.powerMilliwatts());
    }

    /**
     * Returns the expected run time of a job.
     *
     * @param job the job, not null
     * @return the run time, in milliseconds; zero if it was neither declared nor measured
     */
    public long runTimeMillis(JobSpecification job) {
        ClassEstimate estimate = classes.get(job.workClass());
        return estimate == null ? job.declaredRunTimeMillis() : estimate.runTimeMillis(job.declaredRunTimeMillis());
    }

    /**
     * Tells whether enough samples exist to estimate the resources of a class.
     *
     * @param workClass the class, not null
     * @return true if {@link #resources} returns an estimate, false if it returns the declared resources
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
