package org.nettlering.domain.configuration;

import java.time.Instant;
import java.util.List;

/**
 * An accepted revision with the operation that created it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param revision the revision
 * @param operationId the id of the operation that created the revision, not null
 * @param operatorName the operator who sent the request, not null
 * @param time when the leader received the request, not null
 * @param changes the changes, in order, not null
 */
public record RevisionRecord(
        long revision, String operationId, String operatorName, Instant time, List<ConfigurationChange> changes) {
    /** Copies the changes. */
    public RevisionRecord {
        changes = List.copyOf(changes);
    }
}
