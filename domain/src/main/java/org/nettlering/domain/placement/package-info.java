/**
 * Decides which tasks start, are throttled or are evicted, and on which worker.
 *
 * <p>Planners read the replicated state of {@code domain.task} and return commands for it; they never modify it.
 */
@NullMarked
package org.nettlering.domain.placement;

import org.jspecify.annotations.NullMarked;
