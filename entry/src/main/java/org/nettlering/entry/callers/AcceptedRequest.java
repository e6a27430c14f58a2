package org.nettlering.entry.callers;

import org.nettlering.domain.configuration.ServiceDefinition;

/**
 * A request whose head was accepted.
 *
 * @param head the head, not null
 * @param service the service that it is for, not null
 * @param urgency the urgency of the service's profile when the request came
 * @param body the body, not null
 * @param deadlineNanos when the answer is due, in monotonic time
 */
record AcceptedRequest(
        RequestHead head, ServiceDefinition service, int urgency, RequestBody body, long deadlineNanos) {}
