/**
 * The consensus protocol of one member: leader election, log replication, linearizable reads and membership changes.
 *
 * <p>No class here blocks, acquires a lock or performs I/O: each is used under the lock of {@code ConsensusNode}, and the
 * messages, writes and completions are collected in an {@code Outbox}. The protocol is deterministic: the same inputs give
 * the same outputs.
 */
@NullMarked
package org.nettlering.consensus.protocol;

import org.jspecify.annotations.NullMarked;
