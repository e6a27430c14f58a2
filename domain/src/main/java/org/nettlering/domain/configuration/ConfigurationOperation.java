package org.nettlering.domain.configuration;

import java.time.Instant;
import java.util.List;

/**
 * An operator's request to change the configuration.
 *
 * <p>Immutable and thread-safe.
 *
 * @param operationId the id, which a resent request repeats, not empty, not null
 * @param operatorName the operator who sent the request, not null
 * @param expectedRevision the revision that must be current for the operation to be accepted
 * @param changes the changes, in order, not null
 * @param time when the leader received the request, not null
 * @param contentDigest a digest of the request without its time, not null
 */
public record ConfigurationOperation(
        String operationId,
        String operatorName,
        long expectedRevision,
        List<ConfigurationChange> changes,
        Instant time,
        String contentDigest) {
    /**
     * Validates the id and copies the changes.
     *
     * @throws org.nettlering.domain.error.NettleringException {@code INVALID_ARGUMENT} if the operation id is empty
     */
    public ConfigurationOperation {
        ArgumentChecks.require(!operationId.isEmpty(), "the operation id is empty");
        changes = List.copyOf(changes);
    }
}
