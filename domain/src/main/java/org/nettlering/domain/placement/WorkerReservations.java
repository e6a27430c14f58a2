package org.nettlering.domain.placement;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.nettlering.domain.task.Worker;

/**
 * Workers reserved for a job that could not start elsewhere.
 *
 * <p>A reservation ends when the job starts or is no longer pending, or when it expires. Not thread-safe.
 */
final class WorkerReservations {
    private final Map<Worker, WorkerReservation> reservationsByWorker = new LinkedHashMap<>();

    /** Reserved workers by job id. */
    private final Map<String, Worker> workersByJob = new HashMap<>();

    /** Reserves a worker for a job, in place of an earlier reservation of the job. */
    void reserve(Worker worker, String jobId, long untilMillis) {
        release(jobId);
        reservationsByWorker.put(worker, new WorkerReservation(jobId, untilMillis));
        workersByJob.put(jobId, worker);
    }

    /** Ends the reservation of a job, if it has one. */
    void release(String jobId) {
        Worker worker = workersByJob.remove(jobId);
        if (worker != null) {
            reservationsByWorker.remove(worker);
        }
    }

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

    boolean isReservedForOtherJob(Worker worker, String jobId) {
        WorkerReservation reservation = reservationsByWorker.get(worker);
        return reservation != null && !reservation.jobId().equals(jobId);
    }

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
