package org.nettlering.entry;

import java.net.InetSocketAddress;
import org.nettlering.entry.settings.EntryLimits;

/**
 * Addresses and limits of one entry process.
 *
 * <p>Immutable and thread-safe.
 *
 * @param processId the id of the process, not null
 * @param callersAddress the address that accepts requests of callers, not null
 * @param platformAddress the address that accepts announcements of upstreams and reports of workers, not null
 * @param limits limits on the input from callers, not null
 */
public record EntryConfiguration(
        String processId, InetSocketAddress callersAddress, InetSocketAddress platformAddress, EntryLimits limits) {}
