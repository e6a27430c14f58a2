package org.nettlering.domain.admission;

import java.util.Set;
import org.nettlering.domain.upstream.UpstreamAddress;

/**
 * A request for a slot.
 *
 * @param payload the object that identifies the request in the decisions, not null
 * @param service the name of the service, not null
 * @param urgency the urgency of the service's profile, from 0 to 100
 * @param deadlineNanos the deadline of the response, in nanoseconds of monotonic time
 * @param avoided the upstreams that earlier attempts failed on; used only when no other upstream is usable, not null
 * @param <T> the type of the payload
 */
public record AdmissionRequest<T>(
        T payload, String service, int urgency, long deadlineNanos, Set<UpstreamAddress> avoided) {
    /** Copies the set of avoided upstreams. */
    public AdmissionRequest {
        avoided = Set.copyOf(avoided);
    }
}
