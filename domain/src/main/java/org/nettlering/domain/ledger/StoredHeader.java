package org.nettlering.domain.ledger;

/**
 * A header of a stored response.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name, not null
 * @param value the value, not null
 */
public record StoredHeader(String name, String value) {}
