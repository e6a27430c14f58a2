/**
 * What workers report and are told, and the leases of their sessions.
 *
 * <p>Everything here is soft state of the leader: it is lost with the leadership and built again from reports. What must
 * survive goes through the commands of {@code domain.task}.
 */
@NullMarked
package org.nettlering.domain.worker;

import org.jspecify.annotations.NullMarked;
