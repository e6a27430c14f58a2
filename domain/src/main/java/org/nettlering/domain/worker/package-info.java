/**
 * Reports of workers, commands to workers, and the leases of worker sessions.
 *
 * <p>This package holds only soft state of the leader, which is lost with the leadership and rebuilt from reports. Durable
 * changes are made with the commands of {@code domain.task}.
 */
@NullMarked
package org.nettlering.domain.worker;

import org.jspecify.annotations.NullMarked;
