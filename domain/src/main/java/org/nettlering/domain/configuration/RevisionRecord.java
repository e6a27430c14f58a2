package org.nettlering.domain.configuration;

import java.time.Instant;
import java.util.List;

/**
 * An accepted revision and where it came from.
 *
 * <p>Immutable and thread-safe.
 *
 * @param revision the revision
 * @param operationId the operation that made it, not null
 * @param operatorName who asked, not null
 * @param time when the leader took the request, not null
 * @param changes the changes, in order, not null
 */
public record RevisionRecord(
        long revision, String operationId, String operatorName, Instant time, List<ConfigurationChange> changes) {
    /** Copies the changes. */
    public RevisionRecord {
        changes = List.copyOf(changes);
    }
}
