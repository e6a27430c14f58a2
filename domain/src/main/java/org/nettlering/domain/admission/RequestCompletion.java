package org.nettlering.domain.admission;

import java.time.Duration;

/** How a request that was granted a slot ended, as far as its upstream is concerned. */
public sealed interface RequestCompletion {
    /**
     * The upstream answered.
     *
     * @param responseTime from dispatch to the end of the answer, not null
     */
    record Responded(Duration responseTime) implements RequestCompletion {}

    /** The upstream failed or refused. */
    record UpstreamFailed() implements RequestCompletion {}

    /** Something else ended the request: the caller, a deadline, or a connection that went silent. */
    record UpstreamNotAtFault() implements RequestCompletion {}
}
