package org.nettlering.standins.journal;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.locks.ReentrantLock;

/**
 * An append-only file of lines that outlives the process which writes it.
 *
 * <p>Each line reaches the operating system before {@link #append} returns, so a killed stand-in leaves a complete record
 * of what it ran. Thread-safe.
 */
public final class Journal implements AutoCloseable {
    /** Guards the writer. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The open file. */
    private final Writer writer;

    /**
     * Opens a journal, and creates its file if it does not exist.
     *
     * @param path the file, not null
     * @return an open journal, never null
     * @throws UncheckedIOException if the file cannot be opened
     */
    public static Journal open(Path path) {
        try {
            return new Journal(Files.newBufferedWriter(
                    path, StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private Journal(Writer writer) {
        this.writer = writer;
    }

    /**
     * Appends a line.
     *
     * @param line the entry, not null
     * @throws UncheckedIOException if the file cannot be written
     */
    public void append(JournalLine line) {
        lock.lock();
        try {
            writer.write(line.text());
            writer.write('\n');
            writer.flush();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        } finally {
            lock.unlock();
        }
    }

    /** Closes the file. */
    @Override
    public void close() {
        lock.lock();
        try {
            writer.close();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        } finally {
            lock.unlock();
        }
    }
}
