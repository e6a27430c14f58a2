package org.nettlering.standins.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/**
 * What a process has used since its start, as the operating system counts it.
 *
 * <p>The bytes are those of read and write calls, on files and sockets alike. Immutable and thread-safe.
 *
 * @param processorMillis processor time in milliseconds, in steps of ten
 * @param readBytes the bytes that it read
 * @param writtenBytes the bytes that it wrote
 */
public record ProcessCounters(long processorMillis, long readBytes, long writtenBytes) {
    private static final int USER_TIME_FIELD = 11;
    private static final int SYSTEM_TIME_FIELD = 12;
    private static final long MILLIS_PER_TICK = 10;

    /**
     * Reads the counters of a process.
     *
     * @param processId the id of the process
     * @return the counters, all zero if there is no such process, never null
     */
    public static ProcessCounters of(long processId) {
        Path folder = Path.of("/proc", Long.toString(processId));
        try {
            String stat = Files.readString(folder.resolve("stat"));
            List<String> fields =
                    Arrays.asList(stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1));
            long ticks = Long.parseLong(fields.get(USER_TIME_FIELD)) + Long.parseLong(fields.get(SYSTEM_TIME_FIELD));
            List<String> io = Files.readAllLines(folder.resolve("io"));
            return new ProcessCounters(ticks * MILLIS_PER_TICK, valueOf(io, "rchar:"), valueOf(io, "wchar:"));
        } catch (NoSuchFileException ended) {
            return new ProcessCounters(0, 0, 0);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Returns what was used since an earlier reading.
     *
     * @param earlier the earlier reading of the same process, not null
     * @return the differences, never null
     */
    public ProcessCounters since(ProcessCounters earlier) {
        return new ProcessCounters(
                processorMillis - earlier.processorMillis,
                readBytes - earlier.readBytes,
                writtenBytes - earlier.writtenBytes);
    }

    private static long valueOf(List<String> lines, String name) {
        return lines.stream()
                .filter(line -> line.startsWith(name))
                .mapToLong(line -> Long.parseLong(line.substring(name.length()).trim()))
                .findFirst()
                .orElse(0L);
    }
}
