package org.nettlering.domain.workflow.host;

import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.HostIncarnation;

/**
 * A heartbeat, in which a host describes itself at regular intervals.
 *
 * <p>Immutable and thread-safe.
 *
 * @param host the host incarnation, not null
 * @param pool the pool of the host, not null
 * @param failureDomain the failure domain of the host, not null
 * @param capacity the capacity for runs, which may shrink and grow while the host runs, not null
 * @param kind the kind of machine, which also serves as a label, not null
 * @param rack the rack, which also serves as a label, empty if unknown, not null
 * @param draining true if the host is about to shut down and accepts no new runs
 * @param clockMillis the host's monotonic clock, in milliseconds since an arbitrary origin
 * @param sequence the sequence number, which increases with each heartbeat of an incarnation
 * @param startMillis when the incarnation started, in milliseconds since 1970, or {@link HostIncarnation#UNKNOWN_START}
 * @param drainLeftMillis how much longer a draining host runs at least, in milliseconds, zero if unknown
 * @param coldLeftMillis how much longer the host is slow after its start, in milliseconds, zero if it is not
 */
public record HostHeartbeat(
        HostIncarnation host,
        String pool,
        String failureDomain,
        Resources capacity,
        String kind,
        String rack,
        boolean draining,
        long clockMillis,
        long sequence,
        long startMillis,
        long drainLeftMillis,
        long coldLeftMillis) {
    /**
     * Creates a heartbeat of a host that tells neither how long it drains nor that it is slow.
     *
     * @param host the host incarnation, not null
     * @param pool the pool of the host, not null
     * @param failureDomain the failure domain of the host, not null
     * @param capacity the capacity for runs, not null
     * @param kind the kind of machine, not null
     * @param rack the rack, empty if unknown, not null
     * @param draining true if the host is about to shut down and accepts no new runs
     * @param clockMillis the host's monotonic clock, in milliseconds since an arbitrary origin
     * @param sequence the sequence number
     * @param startMillis when the incarnation started, in milliseconds since 1970
     */
    public HostHeartbeat(
            HostIncarnation host,
            String pool,
            String failureDomain,
            Resources capacity,
            String kind,
            String rack,
            boolean draining,
            long clockMillis,
            long sequence,
            long startMillis) {
        this(host, pool, failureDomain, capacity, kind, rack, draining, clockMillis, sequence, startMillis, 0, 0);
    }

    /**
     * Creates a heartbeat of a host that does not tell when it started.
     *
     * @param host the host incarnation, not null
     * @param pool the pool of the host, not null
     * @param failureDomain the failure domain of the host, not null
     * @param capacity the capacity for runs, not null
     * @param kind the kind of machine, not null
     * @param rack the rack, empty if unknown, not null
     * @param draining true if the host is about to shut down and accepts no new runs
     * @param clockMillis the host's monotonic clock, in milliseconds since an arbitrary origin
     * @param sequence the sequence number
     */
    public HostHeartbeat(
            HostIncarnation host,
            String pool,
            String failureDomain,
            Resources capacity,
            String kind,
            String rack,
            boolean draining,
            long clockMillis,
            long sequence) {
        this(
                host,
                pool,
                failureDomain,
                capacity,
                kind,
                rack,
                draining,
                clockMillis,
                sequence,
                HostIncarnation.UNKNOWN_START);
    }

    /**
     * Returns whether the host has a label.
     *
     * @param label the label; empty for none, not null
     * @return true if the label is empty or equals the kind or the rack
     */
    public boolean hasLabel(String label) {
        return label.isEmpty() || label.equals(kind) || label.equals(rack);
    }
}
