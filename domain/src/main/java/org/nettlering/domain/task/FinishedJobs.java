package org.nettlering.domain.task;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Bounds what is kept of jobs that ended: the details of the latest, and the ids of many more.
 *
 * <p>A job whose id is still kept cannot be submitted again, so that a late resend does not run it twice. Not thread-safe.
 */
final class FinishedJobs {
    /** Ended jobs whose details are kept. */
    static final int MAX_DETAILED_JOBS = 5_000;

    /** Ended jobs whose ids are kept after their details are gone. */
    static final int MAX_ID_ONLY_JOBS = 200_000;

    /** Ended jobs whose details are kept, the oldest first. */
    private final Deque<String> detailedJobIds = new ArrayDeque<>();

    /** Ended jobs of which only the id is kept, the oldest first. */
    private final Set<String> idOnlyJobIds = new LinkedHashSet<>();

    /**
     * Adds a job that ended.
     *
     * @param jobId the job, not null
     * @return the jobs whose details are to be dropped, never null
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

    /** Tells whether only the id of a job is kept. */
    boolean isIdOnly(String jobId) {
        return idOnlyJobIds.contains(jobId);
    }

    /** Returns the ended jobs whose details are kept, the oldest first. */
    List<String> detailedJobIds() {
        return List.copyOf(detailedJobIds);
    }

    /** Returns the ended jobs of which only the id is kept, the oldest first. */
    List<String> idOnlyJobIds() {
        return List.copyOf(idOnlyJobIds);
    }

    /** Replaces everything. */
    void restore(Collection<String> restoredDetailedIds, Collection<String> restoredIdOnlyIds) {
        detailedJobIds.clear();
        detailedJobIds.addAll(restoredDetailedIds);
        idOnlyJobIds.clear();
        idOnlyJobIds.addAll(restoredIdOnlyIds);
    }
}
