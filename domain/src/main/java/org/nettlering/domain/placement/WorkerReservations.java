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
final class WorkerReservations {
    /** Claims by worker. */
    private final Map<Worker, WorkerReservation> reservationsByWorker = new LinkedHashMap<>();

    /** Workers by job. */
    private final Map<String, Worker> workersByJob = new HashMap<>();

    /** Keeps a worker for a job. */
    void reserve(Worker worker, String jobId, long untilMillis) {
        release(jobId);
        reservationsByWorker.put(worker, new WorkerReservation(jobId, untilMillis));
        workersByJob.put(jobId, worker);
    }

    /** Ends the claim of a job, if it has one. */
    void release(String jobId) {
        Worker worker = workersByJob.remove(jobId);
        if (worker != null) {
            reservationsByWorker.remove(worker);
        }
    }

    /** Ends the claims whose time is over. */
    void expire(long nowMillis) {
        Iterator<Map.Entry<Worker, WorkerReservation>> entries =
                reservationsByWorker.entrySet().iterator();
        while (entries.hasNext()) {
            WorkerReservation reservation = entries.next().getValue();
            if (reservation.untilMillis() <= nowMillis) {
                entries.remove();
                workersByJob.remove(reservation.jobId());
            }
        }
    }

    /** Tells whether a worker is kept for another job. */
    boolean isReservedForOtherJob(Worker worker, String jobId) {
        WorkerReservation reservation = reservationsByWorker.get(worker);
        return reservation != null && !reservation.jobId().equals(jobId);
    }

    /** Returns the worker that is kept for a job. */
    Optional<Worker> workerReservedFor(String jobId) {
        return Optional.ofNullable(workersByJob.get(jobId));
    }

    boolean isReserved(Worker worker) {
        return reservationsByWorker.containsKey(worker);
    }

    int size() {
        return reservationsByWorker.size();
    }

    private record WorkerReservation(String jobId, long untilMillis) {}
}
