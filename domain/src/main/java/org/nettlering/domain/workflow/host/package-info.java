/**
 * What the leader knows of each host that runs tasks, and the orders that it owes it.
 *
 * <p>Held in memory only: a new leader learns it again from the hosts.
 */
@NullMarked
package org.nettlering.domain.workflow.host;

import org.jspecify.annotations.NullMarked;
