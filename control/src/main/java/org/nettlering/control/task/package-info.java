/**
 * Jobs and workers in the control process: the replicated part, and the service that the entries call.
 *
 * <p>{@code domain.task} holds the state, {@code domain.worker} reads reports, {@code domain.placement} decides; this
 * package carries their commands through the replicated log.
 */
@NullMarked
package org.nettlering.control.task;

import org.jspecify.annotations.NullMarked;
