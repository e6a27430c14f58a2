package org.nettlering.domain.task;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Limits the retention of finished jobs: full details of the most recent ones, and only the ids of older ones.
 *
 * <p>The ids are retained so that a late retry of a submission does not run the job a second time. Not thread-safe.
 */
final class FinishedJobs {
    /** Maximum number of finished jobs whose details are retained. */
    static final int MAX_DETAILED_JOBS = 5_000;

    /** Maximum number of job ids that are retained after the details were removed. */
    static final int MAX_ID_ONLY_JOBS = 200_000;

    /** Oldest first. */
    private final Deque<String> detailedJobIds = new ArrayDeque<>();

    /** Oldest first. */
    private final Set<String> idOnlyJobIds = new LinkedHashSet<>();

    /**
     * Adds a job that has finished.
     *
     * @param jobId the id of the job, not null
     * @return the ids of the jobs whose details the caller must remove, never null
     */
    List<String> add(String jobId) {
        detailedJobIds.addLast(jobId);
        List<String> removed = new ArrayList<>();
        while (detailedJobIds.size() > MAX_DETAILED_JOBS) {
            String oldest = detailedJobIds.removeFirst();
            removed.add(oldest);
            idOnlyJobIds.add(oldest);
        }
        while (idOnlyJobIds.size() > MAX_ID_ONLY_JOBS) {
            idOnlyJobIds.remove(idOnlyJobIds.iterator().next());
        }
        return removed;
    }

    /** Returns whether the id of a finished job is retained without its details. */
    boolean isIdOnly(String jobId) {
        return idOnlyJobIds.contains(jobId);
    }

    /** Returns the ids of the jobs whose details are retained, oldest first. */
    List<String> detailedJobIds() {
        return List.copyOf(detailedJobIds);
    }

    /** Returns the ids that are retained without details, oldest first. */
    List<String> idOnlyJobIds() {
        return List.copyOf(idOnlyJobIds);
    }

    /** Replaces the contents with those of a snapshot. */
    void restore(Collection<String> restoredDetailedIds, Collection<String> restoredIdOnlyIds) {
        detailedJobIds.clear();
        detailedJobIds.addAll(restoredDetailedIds);
        idOnlyJobIds.clear();
        idOnlyJobIds.addAll(restoredIdOnlyIds);
    }
}
