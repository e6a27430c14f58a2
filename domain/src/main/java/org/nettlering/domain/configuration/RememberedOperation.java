package org.nettlering.domain.configuration;

/**
 * The first answer to an operation id.
 *
 * <p>Immutable and thread-safe.
 *
 * @param operationId the id, not null
 * @param contentDigest a digest of what was asked, not null
 * @param outcome the first answer, not null
 */
public record RememberedOperation(String operationId, String contentDigest, ConfigurationOutcome outcome) {}
