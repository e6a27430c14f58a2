/**
 * A replicated log based on Raft: leader election, log replication, snapshots and membership changes.
 *
 * <p>This package is the API of the log; the implementation is in sub-packages. Storage, transport and time are ports.
 * Depends only on {@code domain}.
 */
@NullMarked
package org.nettlering.consensus;

import org.jspecify.annotations.NullMarked;
