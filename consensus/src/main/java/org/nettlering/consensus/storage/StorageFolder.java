package org.nettlering.consensus.storage;

import java.util.List;

/**
 * The port to one folder of a file system.
 *
 * <p>Every method throws {@code NettleringException} with {@code STORAGE_FAILED} when the file system refuses. Written bytes
 * survive a crash only after the file was synced, and names only after the folder was.
 */
public interface StorageFolder extends AutoCloseable {
    /**
     * Keeps other processes out until the folder is closed.
     *
     * @throws org.nettlering.domain.error.NettleringException with {@code STORAGE_LOCKED} if another process has it
     */
    void lock();

    /**
     * Lists the files.
     *
     * @return the names in order, never null
     */
    List<String> list();

    /**
     * Reads a file.
     *
     * @param name the file, not null
     * @return its bytes, never null
     */
    byte[] read(String name);

    /**
     * Opens a file for writing at its end, creating it if it does not exist.
     *
     * @param name the file, not null
     * @return the open file, never null
     */
    AppendFile open(String name);

    /**
     * Gives a file another name, replacing a file of that name.
     *
     * @param from the present name, not null
     * @param to the new name, not null
     */
    void rename(String from, String to);

    /**
     * Removes a file; does nothing if it does not exist.
     *
     * @param name the file, not null
     */
    void delete(String name);

    /** Makes created, renamed and removed names durable. */
    void sync();

    @Override
    void close();

    /** A file that is written at its end. */
    interface AppendFile extends AutoCloseable {
        /**
         * Writes bytes at the end.
         *
         * @param bytes the bytes, not null
         */
        void write(byte[] bytes);

        /** Makes the written bytes durable. */
        void sync();

        /**
         * Cuts the file.
         *
         * @param sizeBytes the size that it keeps
         */
        void truncate(long sizeBytes);

        @Override
        void close();
    }
}
