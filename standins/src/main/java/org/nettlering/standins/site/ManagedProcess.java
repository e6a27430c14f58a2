package org.nettlering.standins.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * A process that a demonstration started.
 *
 * <p>Immutable apart from the process itself; thread-safe.
 *
 * @param name how the demonstration calls it
 * @param process the process
 * @param log the file with its output
 */
public record ManagedProcess(String name, Process process, Path log) {
    /** Kills the process without notice and waits until it is gone. */
    public void kill() {
        process.destroyForcibly();
        awaitExit(Duration.ofSeconds(10));
    }

    /** Asks the process to stop gracefully. */
    public void terminate() {
        process.destroy();
    }

    /**
     * Waits for the end of the process.
     *
     * @param limit how long to wait, not null
     * @return true if the process ended within the time
     */
    public boolean awaitExit(Duration limit) {
        try {
            return process.waitFor(limit.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Returns the resident memory.
     *
     * @return mebibytes, or zero if the process has ended
     */
    public long residentMebibytes() {
        return statusKibibytes("VmRSS:") / 1_024;
    }

    /**
     * Returns what the process has used so far.
     *
     * @return the counters, all zero if the process has ended, never null
     */
    public ProcessCounters counters() {
        return ProcessCounters.of(process.pid());
    }

    private long statusKibibytes(String field) {
        Path status = Path.of("/proc", Long.toString(process.pid()), "status");
        if (!Files.exists(status)) {
            return 0L;
        }
        try {
            return Files.readAllLines(status).stream()
                    .filter(line -> line.startsWith(field))
                    .map(line -> line.replaceAll("[^0-9]", ""))
                    .mapToLong(Long::parseLong)
                    .findFirst()
                    .orElse(0L);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
