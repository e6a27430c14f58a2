package org.nettlering.entry.upstreams;

import java.time.Duration;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.upstream.UpstreamAddress;

/** A request for a slot of an upstream. Implementations are thread-safe. */
public interface SlotRequest {
    /**
     * Called when a slot is granted; the request must release it.
     *
     * @param upstream the upstream to send the request to, not null
     */
    void onGranted(UpstreamAddress upstream);

    /**
     * Called when the request is rejected; it has not run.
     *
     * @param code the reason, not null
     * @param retryAfter after which delay the caller may retry, not null
     */
    void onRejected(ErrorCode code, Duration retryAfter);
}
