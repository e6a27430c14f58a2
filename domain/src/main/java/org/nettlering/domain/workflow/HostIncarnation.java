package org.nettlering.domain.workflow;

/**
 * One life of a host, and where it is reached.
 *
 * <p>A host that starts again has another id, also at the same address. Immutable and thread-safe.
 *
 * @param id the id of this life of the host, not null
 * @param address where it takes orders, as IP:PORT, not null
 */
public record HostIncarnation(String id, String address) {}
