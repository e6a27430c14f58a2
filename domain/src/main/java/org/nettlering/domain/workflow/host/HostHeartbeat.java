package org.nettlering.domain.workflow.host;

import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.HostIncarnation;

/**
 * What a host tells of itself at regular intervals.
 *
 * <p>Immutable and thread-safe.
 *
 * @param host this life of the host, not null
 * @param pool the pool that it belongs to, not null
 * @param failureDomain its failure domain, not null
 * @param capacity what it offers, not null
 * @param kind its kind, which counts as a label, not null
 * @param rack its rack, which counts as a label, empty if not told, not null
 * @param draining true if it will leave and takes no new work
 * @param clockMillis its own steady clock, in milliseconds since an origin of its own
 * @param sequence the number of the report, which rises with each
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
        long sequence) {
    /**
     * Tells whether the host has a label.
     *
     * @param label the label; empty for none, not null
     * @return true if the label is empty, the kind or the rack
     */
    public boolean hasLabel(String label) {
        return label.isEmpty() || label.equals(kind) || label.equals(rack);
    }
}
