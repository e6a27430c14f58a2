package org.nettlering.domain.configuration;

/**
 * The outcome of an operation, remembered so that a resent operation gets the same outcome.
 *
 * <p>Immutable and thread-safe.
 *
 * @param operationId the id, not null
 * @param contentDigest a digest of the request, not null
 * @param outcome the first outcome, not null
 */
public record RememberedOperation(String operationId, String contentDigest, ConfigurationOutcome outcome) {}
