/**
 * Queues and jobs in the control process: the replicated state machine, the service that other processes call, and the
 * leader's loop that sends commands to hosts.
 *
 * <p>{@code domain.workflow} holds the state and the decisions; this package connects them to the replicated log and to
 * the hosts.
 */
@NullMarked
package org.nettlering.control.workflow;

import org.jspecify.annotations.NullMarked;
