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
    static final int KEPT_DETAILS = 5_000;

    /** Ended jobs whose ids are kept after their details are gone. */
    static final int KEPT_IDS = 200_000;

    /** Ended jobs whose details are kept, the oldest first. */
    private final Deque<String> detailed = new ArrayDeque<>();

    /** Ended jobs of which only the id is kept, the oldest first. */
    private final Set<String> forgotten = new LinkedHashSet<>();

    /**
     * Adds a job that ended.
     *
     * @param jobId the job, not null
     * @return the jobs whose details are to be dropped, never null
     */
    List<String> add(String jobId) {
        detailed.addLast(jobId);
        List<String> dropped = new ArrayList<>();
        while (detailed.size() > KEPT_DETAILS) {
            String oldest = detailed.removeFirst();
            dropped.add(oldest);
            forgotten.add(oldest);
        }
        while (forgotten.size() > KEPT_IDS) {
            forgotten.remove(forgotten.iterator().next());
        }
        return dropped;
    }

    /** Tells whether only the id of a job is kept. */
    boolean isForgotten(String jobId) {
        return forgotten.contains(jobId);
    }

    /** Returns the ended jobs whose details are kept, the oldest first. */
    List<String> detailed() {
        return List.copyOf(detailed);
    }

    /** Returns the ended jobs of which only the id is kept, the oldest first. */
    List<String> forgotten() {
        return List.copyOf(forgotten);
    }

    /** Replaces everything. */
    void restore(Collection<String> detailedIds, Collection<String> forgottenIds) {
        detailed.clear();
        detailed.addAll(detailedIds);
        forgotten.clear();
        forgotten.addAll(forgottenIds);
    }
}
