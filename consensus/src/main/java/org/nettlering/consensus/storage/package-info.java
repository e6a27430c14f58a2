/**
 * Stores the log and snapshots of a member in the files of one folder.
 *
 * <p>{@code FileLogStorage} writes and recovers the files. {@code StorageFolder} abstracts the file system;
 * {@code DiskFolder} implements it for a real one.
 */
@NullMarked
package org.nettlering.consensus.storage;

import org.jspecify.annotations.NullMarked;
