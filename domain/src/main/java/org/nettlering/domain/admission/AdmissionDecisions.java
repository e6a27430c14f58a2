package org.nettlering.domain.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.upstream.UpstreamAddress;

/**
 * The requests that one event let run, and those that it refused.
 *
 * <p>The caller carries the decisions out after the call, outside every lock. A request in neither list waits.
 *
 * @param grants the requests that run now, not null
 * @param rejections the requests that are refused now, not null
 * @param reclaimingPeers the peers that got a borrowed slot back and wait for the news, not null
 * @param <T> the type of the payload
 */
public record AdmissionDecisions<T>(
        List<Grant<T>> grants, List<Rejection<T>> rejections, List<String> reclaimingPeers) {
    static <T> AdmissionDecisions<T> create() {
        return new AdmissionDecisions<>(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
    }

    /**
     * A request that runs now; its slot must be released.
     *
     * @param payload the request, not null
     * @param upstream where it runs, not null
     * @param <T> the type of the payload
     */
    public record Grant<T>(T payload, UpstreamAddress upstream) {}

    /**
     * A request that was refused and has not run.
     *
     * @param payload the request, not null
     * @param code why, not null
     * @param retryAfter when the caller may try again, not null
     * @param <T> the type of the payload
     */
    public record Rejection<T>(T payload, ErrorCode code, Duration retryAfter) {}
}
