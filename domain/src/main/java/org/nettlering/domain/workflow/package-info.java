/**
 * Jobs, which consist of steps of tasks, and their replicated state.
 *
 * <p>{@code domain.workflow.host} tracks the hosts that run the tasks, and {@code domain.workflow.placement} decides which
 * tasks start on which host.
 */
@NullMarked
package org.nettlering.domain.workflow;

import org.jspecify.annotations.NullMarked;
