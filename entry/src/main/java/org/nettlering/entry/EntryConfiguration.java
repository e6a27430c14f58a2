package org.nettlering.entry;

import java.net.InetSocketAddress;
import org.nettlering.entry.settings.EntryLimits;

/**
 * What one entry process needs to know of itself.
 *
 * <p>Immutable and thread-safe.
 *
 * @param processId its id, not null
 * @param callersAddress where it takes callers' requests, not null
 * @param platformAddress where it takes announcements and workers' reports, not null
 * @param limits bounds of what it takes from outside, not null
 */
public record EntryConfiguration(
        String processId, InetSocketAddress callersAddress, InetSocketAddress platformAddress, EntryLimits limits) {}
