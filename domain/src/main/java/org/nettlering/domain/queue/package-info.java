/** Queues of jobs as operators configure them: which requests reach a queue, and the terms on which its jobs run. */
@NullMarked
package org.nettlering.domain.queue;

import org.jspecify.annotations.NullMarked;
