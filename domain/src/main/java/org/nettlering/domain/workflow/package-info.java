/**
 * Jobs made of steps of tasks, and their replicated state.
 *
 * <p>{@code domain.workflow.host} follows the hosts that run the tasks; {@code domain.workflow.placement} decides what
 * starts where.
 */
@NullMarked
package org.nettlering.domain.workflow;

import org.jspecify.annotations.NullMarked;
