package org.nettlering.domain.worker;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.domain.task.Worker;

/**
 * Tracks the session leases of workers on the current leader.
 *
 * <p>There is one lease per worker, not per task. A lease never expires on the leader before it expires on the worker: the
 * worker measures it from the time it sent a report, the leader from the later time it received the report, and the leader
 * also adds the maximum clock drift. A new leader does not know the renewals by its predecessor, so it treats all leases as
 * renewed at the start of its leadership. Not thread-safe.
 */
public final class SessionLeases {
    /** Time for which a worker may run its tasks after sending a report to which the leader responded. */
    public static final Duration LEASE_DURATION = Duration.ofSeconds(10);

    /** Maximum drift between the clocks of a worker and the leader during one lease. */
    public static final Duration MAX_CLOCK_DRIFT = Duration.ofMillis(500);

    /** By worker id. */
    private final Map<String, WorkerLease> leases = new HashMap<>();

    /** When every worker without a later renewal counts as renewed. */
    private long leadershipStartNanos;

    /**
     * Returns the leases for a leadership that starts now.
     *
     * @param nowNanos the monotonic clock of the leader, in nanoseconds
     * @return new leases, never null
     */
    public static SessionLeases startingAt(long nowNanos) {
        return new SessionLeases(nowNanos);
    }

    private SessionLeases(long nowNanos) {
        leadershipStartNanos = nowNanos;
    }

    /**
     * Checks the order of a report.
     *
     * @param report the report, not null
     * @return false if a later report of the worker was accepted before, in which case this one must be ignored
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
     * @param worker the worker in the replicated state, not null
     * @param nowNanos the time at which the report was received, by the monotonic clock of the leader, in nanoseconds
     * @return false if the session is being closed, in which case the worker must not get a renewed lease
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
     * Treats all leases as renewed now, as at the start of a leadership. For a leader that was paused: the reports that came
     * meanwhile wait to be read, so that no worker's silence is known.
     *
     * @param nowNanos the monotonic clock of the leader, in nanoseconds
     */
    public void restart(long nowNanos) {
        leadershipStartNanos = nowNanos;
        leases.values().forEach(lease -> lease.renewedNanos = nowNanos);
    }

    /**
     * Returns the workers whose lease has expired. Their current sessions are not renewed from now on.
     *
     * @param workers all workers in the replicated state, not null
     * @param nowNanos the monotonic clock of the leader, in nanoseconds
     * @return the workers whose session must be closed, never null
     */
    public List<Worker> expire(Iterable<Worker> workers, long nowNanos) {
        List<Worker> expired = new ArrayList<>();
        long timeoutNanos = LEASE_DURATION.plus(MAX_CLOCK_DRIFT).toNanos();
        for (Worker worker : workers) {
            if (!worker.isLive()) {
                continue;
            }
            WorkerLease lease = leases.computeIfAbsent(worker.id(), id -> new WorkerLease(leadershipStartNanos));
            lease.beginSession(worker.session(), nowNanos);
            if (nowNanos - lease.renewedNanos > timeoutNanos) {
                lease.closingSession = worker.session();
                expired.add(worker);
            }
        }
        return expired;
    }

    private static final class WorkerLease {
        /** The incarnation of the last accepted report. */
        private long incarnation;

        /** The sequence number of the last accepted report. */
        private long sequence;

        private long renewedNanos;

        /** The session that is being closed, 0 if none. */
        private long closingSession;

        /** The session to which {@code renewedNanos} refers, 0 before the first session. */
        private long currentSession;

        private WorkerLease(long renewedNanos) {
            this.renewedNanos = renewedNanos;
        }

        /** Sets the current session; a new session starts with a full lease, independent of the previous session. */
        private void beginSession(long session, long nowNanos) {
            if (currentSession != 0 && session != currentSession) {
                renewedNanos = nowNanos;
            }
            currentSession = session;
        }
    }
}
