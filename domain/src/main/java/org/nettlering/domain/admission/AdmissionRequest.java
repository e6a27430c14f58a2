package org.nettlering.domain.admission;

import java.util.Set;
import org.nettlering.domain.upstream.UpstreamAddress;

/**
 * A request that asks for a slot.
 *
 * @param payload what the caller of the admission control hands back with the decision, not null
 * @param service the name of the service, not null
 * @param urgency the urgency of the service's profile, from 0 to 100
 * @param deadlineNanos when the answer is due, in monotonic time
 * @param avoided upstreams that an earlier attempt failed at; used only when there is no other one, not null
 * @param <T> the type of the payload
 */
public record AdmissionRequest<T>(
        T payload, String service, int urgency, long deadlineNanos, Set<UpstreamAddress> avoided) {
    /** Copies the set. */
    public AdmissionRequest {
        avoided = Set.copyOf(avoided);
    }
}
