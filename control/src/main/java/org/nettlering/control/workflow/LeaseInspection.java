package org.nettlering.control.workflow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.workflow.host.HostSession;
import org.nettlering.domain.workflow.host.HostSessionStatus;
import org.nettlering.runtime.log.EventLogger;

/**
 * Finds the hosts with active runs whose lease is not renewed in time, and tells what the leader waits for.
 *
 * <p>A host is reported when the limit is exceeded, when the wait changes, when the lease has expired, and then at intervals.
 * Belongs to a {@link LeaderDiagnostics}. Not thread-safe, but for {@link #oldestUnrenewedNanos}.
 */
final class LeaseInspection {
    /** The age of a renewal beyond which its host is reported. */
    private static final Duration LIMIT = Duration.ofSeconds(2);

    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(5);

    private static final EventLogger LOG = EventLogger.of(LeaseInspection.class);

    private final LeaseTraces leases;

    /** The hosts with active runs by incarnation id. */
    private final Map<String, HostWatch> watches = new HashMap<>();

    /** Since when the oldest lease was not renewed, by the monotonic clock, or null if there is no host with active runs. */
    private volatile @Nullable Long oldestRenewalNanos;

    LeaseInspection(LeaseTraces leases) {
        this.leases = leases;
    }

    /** What was seen of a host with active runs. */
    private static final class HostWatch {
        private final long activeSinceNanos;

        private @Nullable Long uncommittedSinceNanos;

        /** The reported wait, or null while there is nothing to report. */
        private @Nullable LeaseWait reportedWait;

        /** The latest renewal at the time of the first report; meaningful only after a report. */
        private long reportedRenewalNanos;

        private boolean expiryReported;

        private long nextReportNanos;

        private HostWatch(long activeSinceNanos) {
            this.activeSinceNanos = activeSinceNanos;
        }
    }

    /** Returns the age of the oldest lease that was not renewed, in nanoseconds, zero if no host has active runs. */
    long oldestUnrenewedNanos(long nowNanos) {
        Long oldest = oldestRenewalNanos;
        return oldest == null ? 0 : Math.max(0, nowNanos - oldest);
    }

    void clear() {
        watches.clear();
        oldestRenewalNanos = null;
    }

    /** Returns the actions that log what was found. */
    List<Runnable> inspect(long term, Collection<HostSession> sessions, Duration lease, long nowNanos) {
        List<Runnable> lines = new ArrayList<>();
        Set<String> known = new HashSet<>();
        Long oldestNanos = null;
        for (HostSession session : sessions) {
            HostSessionStatus status = session.status(nowNanos);
            String hostId = status.host().id();
            known.add(hostId);
            if (status.activeRuns() == 0) {
                watches.remove(hostId);
                continue;
            }
            HostWatch watch = watches.computeIfAbsent(hostId, id -> new HostWatch(nowNanos));
            long renewalNanos = renewalNanos(hostId, watch);
            oldestNanos = oldestNanos == null || renewalNanos - oldestNanos < 0 ? (Long) renewalNanos : oldestNanos;
            inspectHost(term, status, watch, renewalNanos, lease, nowNanos, lines);
        }
        oldestRenewalNanos = oldestNanos;
        watches.keySet().retainAll(known);
        leases.retainHosts(known);
        return lines;
    }

    /** Returns the time of the last renewal, or of the first sight of active runs if that was later. */
    private long renewalNanos(String hostId, HostWatch watch) {
        OptionalLong renewed = leases.renewedNanos(hostId);
        return renewed.isPresent() && renewed.getAsLong() - watch.activeSinceNanos > 0
                ? renewed.getAsLong()
                : watch.activeSinceNanos;
    }

    private void inspectHost(
            long term,
            HostSessionStatus status,
            HostWatch watch,
            long renewalNanos,
            Duration lease,
            long nowNanos,
            List<Runnable> lines) {
        if (status.uncommittedTerminations() == 0) {
            watch.uncommittedSinceNanos = null;
        } else if (watch.uncommittedSinceNanos == null) {
            watch.uncommittedSinceNanos = nowNanos;
        }
        long ageNanos = nowNanos - renewalNanos;
        if (ageNanos <= LIMIT.toNanos()) {
            reportRenewed(term, status, watch, renewalNanos, lines);
            return;
        }
        Long uncommittedSince = watch.uncommittedSinceNanos;
        long uncommittedForMillis =
                uncommittedSince == null ? 0 : TimeUnit.NANOSECONDS.toMillis(nowNanos - uncommittedSince);
        LeaseDetails details = LeaseDetails.of(status, leases, uncommittedForMillis);
        boolean expired = ageNanos > lease.toNanos();
        boolean changed = watch.reportedWait != details.waitsFor() || expired != watch.expiryReported;
        if (!changed && nowNanos - watch.nextReportNanos < 0) {
            return;
        }
        if (watch.reportedWait == null) {
            watch.reportedRenewalNanos = renewalNanos;
        }
        watch.reportedWait = details.waitsFor();
        watch.expiryReported = expired;
        watch.nextReportNanos = nowNanos + REPORT_INTERVAL.toNanos();
        WorkflowEvent event = expired ? WorkflowEvent.LEASE_OVERDUE_EXPIRED : WorkflowEvent.LEASE_OVERDUE;
        lines.add(() -> LOG.log(
                event,
                status.host().id(),
                status.activeRuns(),
                TimeUnit.NANOSECONDS.toMillis(ageNanos),
                term,
                details));
    }

    private static void reportRenewed(
            long term, HostSessionStatus status, HostWatch watch, long renewalNanos, List<Runnable> lines) {
        if (watch.reportedWait == null) {
            return;
        }
        long overdueNanos = renewalNanos - watch.reportedRenewalNanos;
        watch.reportedWait = null;
        watch.expiryReported = false;
        lines.add(() -> LOG.log(
                WorkflowEvent.LEASE_RENEWED_AGAIN,
                status.host().id(),
                term,
                TimeUnit.NANOSECONDS.toMillis(overdueNanos)));
    }
}
