/**
 * The leader's view of each host that runs tasks, and the commands to it.
 *
 * <p>Kept in memory only: a new leader rebuilds it from the heartbeats and responses of the hosts.
 */
@NullMarked
package org.nettlering.domain.workflow.host;

import org.jspecify.annotations.NullMarked;
