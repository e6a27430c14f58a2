/** What other processes ask the leader about queues, jobs of steps and hosts. */
@NullMarked
package org.nettlering.wire.workflow;

import org.jspecify.annotations.NullMarked;
