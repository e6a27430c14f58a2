package org.nettlering.domain.admission;

import java.time.Duration;

/** How a request that was granted a slot ended, as far as its upstream is concerned. */
public sealed interface RequestEnd {
    /**
     * The upstream answered.
     *
     * @param responseTime from dispatch to the end of the answer, not null
     */
    record Answered(Duration responseTime) implements RequestEnd {}

    /** The upstream failed or refused. */
    record UpstreamFailed() implements RequestEnd {}

    /** Something else ended the request: the caller, a deadline, or a connection that went silent. */
    record NotBlamed() implements RequestEnd {}
}
