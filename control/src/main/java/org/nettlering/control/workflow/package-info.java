/**
 * Queues and jobs of steps in the control process: the replicated part, the service that other processes call, and the
 * leader's loop that sends orders to hosts.
 *
 * <p>{@code domain.workflow} holds the state and the decisions; this package carries them through the replicated log and
 * to the hosts.
 */
@NullMarked
package org.nettlering.control.workflow;

import org.jspecify.annotations.NullMarked;
