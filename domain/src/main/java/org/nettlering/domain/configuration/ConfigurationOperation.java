package org.nettlering.domain.configuration;

import java.time.Instant;
import java.util.List;

/**
 * An operator's request to change the configuration.
 *
 * <p>Immutable and thread-safe.
 *
 * @param operationId the id that a resend repeats, not empty, not null
 * @param operatorName who asks, not null
 * @param expectedRevision the revision that the operator saw
 * @param changes the changes, in order, not null
 * @param time when the leader took the request, not null
 * @param contentDigest a digest of what the operator asked, without the time, not null
 */
public record ConfigurationOperation(
        String operationId,
        String operatorName,
        long expectedRevision,
        List<ConfigurationChange> changes,
        Instant time,
        String contentDigest) {
    /**
     * Checks the id and copies the changes.
     *
     * @throws org.nettlering.domain.error.NettleringException {@code INVALID_ARGUMENT} if the operation id is empty
     */
    public ConfigurationOperation {
        Names.require(!operationId.isEmpty(), "the operation id is empty");
        changes = List.copyOf(changes);
    }
}
