/**
 * The replicated log: elections, replication, snapshots and membership, in the manner of Raft.
 *
 * <p>The top of the package holds what a user of the log needs; the machinery is in sub-packages. Disk, network and time
 * are ports. Depends on {@code domain} alone.
 */
@NullMarked
package org.nettlering.consensus;

import org.jspecify.annotations.NullMarked;
