/** The client side of requests to the leader about queues, jobs and hosts. */
@NullMarked
package org.nettlering.wire.workflow;

import org.jspecify.annotations.NullMarked;
