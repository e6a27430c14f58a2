package org.nettlering.domain.worker;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.domain.task.Worker;

/**
 * The session leases of workers, as the present leader knows them.
 *
 * <p>One lease a worker, not one a task. A worker counts its lease from when it sent the report; the leader counts from
 * when it received it, which is later, and adds the clock-drift bound. A new leader knows nothing of the renewals of its
 * predecessor, so it counts every lease as renewed when its leadership began. Not thread-safe.
 */
public final class SessionLeases {
    /** How long a worker may run its tasks after it sent a report that was answered. */
    public static final Duration LEASE_DURATION = Duration.ofSeconds(10);

    /** How far the clocks of a worker and the leader may drift apart during one lease. */
    public static final Duration MAX_CLOCK_DRIFT = Duration.ofMillis(500);

    /** Sessions by worker. */
    private final Map<String, WorkerLease> leases = new HashMap<>();

    /** When the leadership began. */
    private final long leadershipStartNanos;

    /**
     * Returns the leases at the beginning of a leadership.
     *
     * @param nowNanos the leader's monotonic clock
     * @return new leases, never null
     */
    public static SessionLeases startingAt(long nowNanos) {
        return new SessionLeases(nowNanos);
    }

    private SessionLeases(long nowNanos) {
        leadershipStartNanos = nowNanos;
    }

    /**
     * Takes note of a report.
     *
     * @param report the report, not null
     * @return false when a later report of the worker came before it, so that it must not be read
     */
    public boolean accept(WorkerReport report) {
        WorkerLease lease = leases.computeIfAbsent(report.workerId(), id -> new WorkerLease(leadershipStartNanos));
        if (report.incarnation() < lease.incarnation
                || (report.incarnation() == lease.incarnation && report.sequence() < lease.sequence)) {
            return false;
        }
        lease.incarnation = report.incarnation();
        lease.sequence = report.sequence();
        return true;
    }

    /**
     * Renews the lease of a worker whose session is open.
     *
     * @param worker the worker as recorded, not null
     * @param nowNanos when the report was received, by the leader's monotonic clock
     * @return false when the session is being closed, so that the worker must not be told to go on
     */
    public boolean renew(Worker worker, long nowNanos) {
        WorkerLease lease = leases.computeIfAbsent(worker.id(), id -> new WorkerLease(leadershipStartNanos));
        if (lease.closingSession == worker.session()) {
            return false;
        }
        lease.beginSession(worker.session(), nowNanos);
        lease.renewedNanos = nowNanos;
        return true;
    }

    /**
     * Finds the workers whose lease has ended, and stops renewing them.
     *
     * @param workers all workers as recorded, not null
     * @param nowNanos the leader's monotonic clock
     * @return the workers whose session is to be closed, never null
     */
    public List<Worker> expire(Iterable<Worker> workers, long nowNanos) {
        List<Worker> expired = new ArrayList<>();
        long expiryNanos = LEASE_DURATION.plus(MAX_CLOCK_DRIFT).toNanos();
        for (Worker worker : workers) {
            if (!worker.isLive()) {
                continue;
            }
            WorkerLease lease = leases.computeIfAbsent(worker.id(), id -> new WorkerLease(leadershipStartNanos));
            lease.beginSession(worker.session(), nowNanos);
            if (nowNanos - lease.renewedNanos > expiryNanos) {
                lease.closingSession = worker.session();
                expired.add(worker);
            }
        }
        return expired;
    }

    /** What is known of one worker. */
    private static final class WorkerLease {
        /** The incarnation of the last report. */
        private long incarnation;

        /** The sequence of the last report. */
        private long sequence;

        /** When the lease was last renewed. */
        private long renewedNanos;

        /** The session that is being closed, zero if none. */
        private long closingSession;

        /** The session that the renewals belong to, zero before the first was seen. */
        private long currentSession;

        private WorkerLease(long renewedNanos) {
            this.renewedNanos = renewedNanos;
        }

        /** A session that was opened again has a whole lease before it, whatever became of the one before. */
        private void beginSession(long session, long nowNanos) {
            if (currentSession != 0 && session != currentSession) {
                renewedNanos = nowNanos;
            }
            currentSession = session;
        }
    }
}
