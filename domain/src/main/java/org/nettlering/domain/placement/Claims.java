package org.nettlering.domain.placement;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.nettlering.domain.task.Worker;

/**
 * Workers that are kept free for a job that could not start elsewhere.
 *
 * <p>A claim ends when the job starts, is gone or the time is over. Not thread-safe.
 */
final class Claims {
    /** Claims by worker. */
    private final Map<Worker, Claim> byWorker = new LinkedHashMap<>();

    /** Workers by job. */
    private final Map<String, Worker> byJob = new HashMap<>();

    /** Keeps a worker for a job. */
    void put(Worker worker, String jobId, long untilMillis) {
        release(jobId);
        byWorker.put(worker, new Claim(jobId, untilMillis));
        byJob.put(jobId, worker);
    }

    /** Ends the claim of a job, if it has one. */
    void release(String jobId) {
        Worker worker = byJob.remove(jobId);
        if (worker != null) {
            byWorker.remove(worker);
        }
    }

    /** Ends the claims whose time is over. */
    void expire(long nowMillis) {
        Iterator<Map.Entry<Worker, Claim>> entries = byWorker.entrySet().iterator();
        while (entries.hasNext()) {
            Claim claim = entries.next().getValue();
            if (claim.untilMillis() <= nowMillis) {
                entries.remove();
                byJob.remove(claim.jobId());
            }
        }
    }

    /** Tells whether a worker is kept for another job. */
    boolean isKeptFromJob(Worker worker, String jobId) {
        Claim claim = byWorker.get(worker);
        return claim != null && !claim.jobId().equals(jobId);
    }

    /** Returns the worker that is kept for a job. */
    Optional<Worker> of(String jobId) {
        return Optional.ofNullable(byJob.get(jobId));
    }

    boolean isClaimed(Worker worker) {
        return byWorker.containsKey(worker);
    }

    int size() {
        return byWorker.size();
    }

    private record Claim(String jobId, long untilMillis) {}
}
