import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: one line for each thing sent, answered or run, with seconds since the start. Thread-safe. */
final class Record {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Returns the milliseconds since the start. */
    long nowMillis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String text) {
        String line = String.format(Locale.ROOT, "%8.3f  %s", nowMillis() / 1_000.0, text);
        out.println(line);
        out.flush();
    }

    synchronized void close() {
        out.close();
    }
}
