/**
 * The replicated state of jobs and workers: phases, epochs, allocations and the commands that change them.
 *
 * <p>{@code domain.placement} decides which commands to propose; {@code control.task} replicates them through the log.
 * This package does not read a clock: each command carries the time of the leader that proposed it.
 */
@NullMarked
package org.nettlering.domain.task;

import org.jspecify.annotations.NullMarked;
