/**
 * Decides which task starts, slows down or leaves, where and when.
 *
 * <p>Planners read the replicated state of {@code domain.task} and return commands for it; they never change it.
 */
@NullMarked
package org.nettlering.domain.placement;

import org.jspecify.annotations.NullMarked;
