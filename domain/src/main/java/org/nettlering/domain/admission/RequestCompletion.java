package org.nettlering.domain.admission;

import java.time.Duration;

/** How a granted request completed, from the point of view of its upstream. Implementations are immutable. */
public sealed interface RequestCompletion {
    /**
     * The upstream responded.
     *
     * @param responseTime the time from dispatch to the end of the response, not null
     */
    record Responded(Duration responseTime) implements RequestCompletion {}

    /** The upstream failed or rejected the request. */
    record UpstreamFailed() implements RequestCompletion {}

    /** The request ended for another reason: the caller, a deadline, or a connection that stopped responding. */
    record UpstreamNotAtFault() implements RequestCompletion {}
}
