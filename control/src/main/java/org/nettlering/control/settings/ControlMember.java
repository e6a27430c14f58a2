package org.nettlering.control.settings;

import java.net.InetSocketAddress;

/**
 * A control member as the settings name it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of the process, not null
 * @param address where it listens for peers, not null
 * @param failureDomain the failure domain of its host, not null
 */
public record ControlMember(String id, InetSocketAddress address, String failureDomain) {}
