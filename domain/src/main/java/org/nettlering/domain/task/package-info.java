/**
 * The replicated state of jobs and workers: phases, lease epochs, commitments and the commands that change them.
 *
 * <p>{@code domain.placement} decides which commands to propose; {@code control.task} carries them through the replicated
 * log. Nothing here reads a clock: each command carries the time of the leader that proposed it.
 */
@NullMarked
package org.nettlering.domain.task;

import org.jspecify.annotations.NullMarked;
