package org.nettlering.entry.callers;

import org.nettlering.domain.configuration.ServiceDefinition;

/**
 * A request whose head was accepted.
 *
 * @param head the request head, not null
 * @param service the service that the request is routed to, not null
 * @param urgency the urgency of the service's profile when the request arrived
 * @param body the body, not null
 * @param deadlineNanos the deadline for the response, in nanoseconds of monotonic time
 */
record AcceptedRequest(
        RequestHead head, ServiceDefinition service, int urgency, RequestBody body, long deadlineNanos) {}
