/** The job queues that operators configure: which requests each queue receives and how its jobs are scheduled. */
@NullMarked
package org.nettlering.domain.queue;

import org.jspecify.annotations.NullMarked;
