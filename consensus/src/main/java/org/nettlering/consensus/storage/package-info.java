/**
 * The log and the snapshots of a member in files of one folder.
 *
 * <p>{@code FileLogStorage} holds the formats and the recovery; {@code StorageFolder} is the port to the file system, with
 * the real one in {@code DiskFolder}.
 */
@NullMarked
package org.nettlering.consensus.storage;

import org.jspecify.annotations.NullMarked;
