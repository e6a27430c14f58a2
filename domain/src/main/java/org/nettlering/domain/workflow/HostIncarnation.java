package org.nettlering.domain.workflow;

/**
 * One incarnation of a host, and its address.
 *
 * <p>A host that restarts gets a new id, even if its address stays the same. Immutable and thread-safe.
 *
 * @param id the id of this incarnation, not null
 * @param address the address at which the host receives commands, as IP:PORT, not null
 */
public record HostIncarnation(String id, String address) {}
