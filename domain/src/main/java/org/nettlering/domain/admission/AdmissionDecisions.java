package org.nettlering.domain.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.upstream.UpstreamAddress;

/**
 * The requests that one event granted a slot or rejected.
 *
 * <p>The caller applies the decisions after the call and holds no lock while it does. A submitted request that is in
 * neither list is queued.
 *
 * @param grants the requests that got a slot, not null
 * @param rejections the requests that were rejected, not null
 * @param reclaimingPeers the peers that got a borrowed slot back and have to be notified, not null
 * @param <T> the type of the payload
 */
public record AdmissionDecisions<T>(
        List<Grant<T>> grants, List<Rejection<T>> rejections, List<String> reclaimingPeers) {
    static <T> AdmissionDecisions<T> create() {
        return new AdmissionDecisions<>(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
    }

    /**
     * A slot for a request, which the caller must release with {@link AdmissionController#release}.
     *
     * @param payload the request, not null
     * @param upstream the upstream that the request has to be sent to, not null
     * @param <T> the type of the payload
     */
    public record Grant<T>(T payload, UpstreamAddress upstream) {}

    /**
     * The rejection of a request, which has not run.
     *
     * @param payload the request, not null
     * @param code the reason, not null
     * @param retryAfter the delay after which the caller may retry, not null
     * @param <T> the type of the payload
     */
    public record Rejection<T>(T payload, ErrorCode code, Duration retryAfter) {}
}
