package org.nettlering.standins.demo;

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
record ManagedProcess(String name, Process process, Path log) {
    /** Kills the process without notice and waits until it is gone. */
    void kill() {
        process.destroyForcibly();
        awaitExit(Duration.ofSeconds(10));
    }

    /** Asks the process to stop gracefully. */
    void terminate() {
        process.destroy();
    }

    /** Returns whether the process ended within a time. */
    boolean awaitExit(Duration limit) {
        try {
            return process.waitFor(limit.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Returns the resident memory in mebibytes, or zero if the process has ended. */
    long residentMebibytes() {
        return statusKibibytes("VmRSS:") / 1_024;
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
