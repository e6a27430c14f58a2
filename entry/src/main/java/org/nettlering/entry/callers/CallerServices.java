package org.nettlering.entry.callers;

import org.nettlering.domain.time.TimeSource;
import org.nettlering.entry.configuration.ConfigurationClient;
import org.nettlering.entry.ledger.LedgerClient;
import org.nettlering.entry.lifecycle.AcceptanceGate;
import org.nettlering.entry.lifecycle.InFlightRequests;
import org.nettlering.entry.metrics.EntryMetrics;
import org.nettlering.entry.settings.EntryLimits;
import org.nettlering.entry.upstreams.SlotAllocator;
import org.nettlering.entry.upstreams.UpstreamPools;
import org.nettlering.runtime.trace.Telemetry;

/**
 * What the handling of a caller's request needs.
 *
 * <p>Immutable; the parts are thread-safe.
 *
 * @param entryId the id of this entry, not null
 * @param limits bounds of what is taken from callers, not null
 * @param configuration the configuration in force, not null
 * @param acceptanceGate tells whether a new request is taken, not null
 * @param slotAllocator gives out slots, not null
 * @param pools the connections to upstreams, not null
 * @param ledger the ledger of non-idempotent requests, not null
 * @param retryLimits the budgets of the services, not null
 * @param inFlightRequests counts the requests, not null
 * @param metrics the counters, not null
 * @param telemetry records the spans, not null
 * @param time the clock, not null
 */
public record CallerServices(
        String entryId,
        EntryLimits limits,
        ConfigurationClient configuration,
        AcceptanceGate acceptanceGate,
        SlotAllocator slotAllocator,
        UpstreamPools pools,
        LedgerClient ledger,
        ServiceRetryLimits retryLimits,
        InFlightRequests inFlightRequests,
        EntryMetrics metrics,
        Telemetry telemetry,
        TimeSource time) {}
