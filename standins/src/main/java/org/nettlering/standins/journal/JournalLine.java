package org.nettlering.standins.journal;

import java.util.List;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * One line of a journal.
 *
 * <p>Times are {@link System#nanoTime()}, which the processes of one machine share. Immutable and thread-safe.
 */
public sealed interface JournalLine {
    /**
     * Returns when the thing happened.
     *
     * @return nanoseconds of the machine's monotonic clock
     */
    long nanos();

    /**
     * Returns the line as it stands in the file.
     *
     * @return fields separated by one space, never null
     */
    String text();

    /**
     * Reads a line.
     *
     * @param text the line, not null
     * @return the entry, never null
     * @throws NettleringException with {@code INVALID_ARGUMENT} if the line has another form
     */
    static JournalLine parse(String text) {
        List<String> fields = List.of(text.split(" ", -1));
        return switch (fields.getFirst()) {
            case "request" -> new RequestRan(Long.parseLong(fields.get(1)), fields.get(2), fields.get(3));
            case "start" ->
                new TaskStarted(Long.parseLong(fields.get(1)), fields.get(2), Long.parseLong(fields.get(3)));
            case "end" ->
                new TaskEnded(
                        Long.parseLong(fields.get(1)), fields.get(2), Long.parseLong(fields.get(3)), fields.get(4));
            case "power" -> new PowerDrawn(Long.parseLong(fields.get(1)), Long.parseLong(fields.get(2)));
            default -> throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "journal line \"" + text + "\"");
        };
    }

    /**
     * An upstream ran a request.
     *
     * @param nanos when
     * @param key the idempotency key, or {@code -}
     * @param attempt the caller's attempt, or {@code -}
     */
    record RequestRan(long nanos, String key, String attempt) implements JournalLine {
        @Override
        public String text() {
            return "request " + nanos + " " + key + " " + attempt;
        }
    }

    /**
     * A worker started a task.
     *
     * @param nanos when
     * @param jobId the job
     * @param epoch the lease epoch
     */
    record TaskStarted(long nanos, String jobId, long epoch) implements JournalLine {
        @Override
        public String text() {
            return "start " + nanos + " " + jobId + " " + epoch;
        }
    }

    /**
     * A worker ended a task.
     *
     * @param nanos when
     * @param jobId the job
     * @param epoch the lease epoch
     * @param reason the name of the end reason
     */
    record TaskEnded(long nanos, String jobId, long epoch, String reason) implements JournalLine {
        @Override
        public String text() {
            return "end " + nanos + " " + jobId + " " + epoch + " " + reason;
        }
    }

    /**
     * A worker draws another power than before.
     *
     * @param nanos since when
     * @param milliwatts the draw
     */
    record PowerDrawn(long nanos, long milliwatts) implements JournalLine {
        @Override
        public String text() {
            return "power " + nanos + " " + milliwatts;
        }
    }
}
