package org.nettlering.consensus.storage;

import java.util.List;

/**
 * A folder that holds the files of a member.
 *
 * <p>Every method throws {@code NettleringException} with {@code STORAGE_FAILED} if the file system reports an error.
 * Written bytes survive a machine crash only after {@link AppendFile#sync()}. Created, renamed and deleted names survive
 * only after {@link #sync()}.
 */
public interface StorageFolder extends AutoCloseable {
    /**
     * Locks the folder against other processes until it is closed.
     *
     * @throws org.nettlering.domain.error.NettleringException with {@code STORAGE_LOCKED} if it is locked already
     */
    void lock();

    /**
     * Lists the files, without the lock file.
     *
     * @return the sorted file names, never null
     */
    List<String> list();

    /**
     * Reads a whole file.
     *
     * @param name the file name, not null
     * @return the content, never null
     */
    byte[] read(String name);

    /**
     * Opens a file for appending, creating it if it does not exist.
     *
     * @param name the file name, not null
     * @return the open file, never null
     */
    AppendFile open(String name);

    /**
     * Renames a file atomically, replacing any file of the new name.
     *
     * @param from the current name, not null
     * @param to the new name, not null
     */
    void rename(String from, String to);

    /**
     * Deletes a file; does nothing if it does not exist.
     *
     * @param name the file name, not null
     */
    void delete(String name);

    /** Makes created, renamed and deleted file names durable. */
    void sync();

    @Override
    void close();

    /** A file opened for appending. */
    interface AppendFile extends AutoCloseable {
        /**
         * Appends bytes.
         *
         * @param bytes the bytes, not null
         */
        void write(byte[] bytes);

        /** Makes the written bytes durable. */
        void sync();

        /**
         * Truncates the file.
         *
         * @param sizeBytes the new size in bytes
         */
        void truncate(long sizeBytes);

        @Override
        void close();
    }
}
