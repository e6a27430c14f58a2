/**
 * The protocol of one member: elections, replication, reads and changes of membership.
 *
 * <p>Nothing here blocks, takes a lock or calls out: every class is used under the lock of {@code ConsensusNode}, and what
 * has to be sent, written or completed is collected in an {@code Outbox}. The same inputs give the same outputs.
 */
@NullMarked
package org.nettlering.consensus.protocol;

import org.jspecify.annotations.NullMarked;
