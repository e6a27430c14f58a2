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
 * The dependencies of request handling.
 *
 * <p>Immutable; the components are thread-safe.
 *
 * @param entryId the id of this entry, not null
 * @param limits limits on requests of callers, not null
 * @param configuration the source of the current configuration, not null
 * @param acceptanceGate decides whether a new request is accepted, not null
 * @param slotAllocator grants slots of upstreams, not null
 * @param pools the connections to upstreams, not null
 * @param ledger client of the ledger of idempotency keys, not null
 * @param retryLimits the retry budgets and adaptive timeouts of the services, not null
 * @param inFlightRequests counts the requests in flight, not null
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
