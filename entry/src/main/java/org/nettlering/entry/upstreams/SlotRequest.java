package org.nettlering.entry.upstreams;

import java.time.Duration;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.upstream.UpstreamAddress;

/** A request that asked the admission control for a slot. Implementations accept calls from any thread. */
public interface SlotRequest {
    /**
     * The request runs now; the slot must be released.
     *
     * @param upstream where it runs, not null
     */
    void onGranted(UpstreamAddress upstream);

    /**
     * The request is refused; it has not run.
     *
     * @param code why, not null
     * @param retryAfter when the caller may come back, not null
     */
    void onRejected(ErrorCode code, Duration retryAfter);
}
