package org.nettlering.standins.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * Runs the operators' program as a process.
 *
 * <p>Thread-safe.
 */
public final class OperatorProgram {
    private static final Duration LIMIT = Duration.ofSeconds(30);

    /** The options that name the entries. */
    private final List<String> entryOptions;

    static OperatorProgram of(List<EntryHost> entries) {
        List<String> options = new ArrayList<>();
        for (EntryHost entry : entries) {
            options.add("--entry");
            options.add(entry.operators());
        }
        return new OperatorProgram(List.copyOf(options));
    }

    private OperatorProgram(List<String> entryOptions) {
        this.entryOptions = entryOptions;
    }

    /**
     * Runs a command.
     *
     * @param arguments the command line without the options that name the entries, not null
     * @return what it printed, never null
     * @throws NettleringException with {@code INTERNAL} for any exit code but 0
     */
    public String run(String... arguments) {
        List<String> all = new ArrayList<>(List.of(arguments));
        all.addAll(entryOptions);
        try {
            Process process = new ProcessBuilder(Program.OPERATOR.commandLine(all))
                    .redirectErrorStream(true)
                    .start();
            String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            if (!process.waitFor(LIMIT.toMillis(), TimeUnit.MILLISECONDS) || process.exitValue() != 0) {
                process.destroyForcibly();
                throw new NettleringException(
                        ErrorCode.INTERNAL, "nettlering " + String.join(" ", arguments) + " failed: " + output);
            }
            return output;
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new NettleringException(ErrorCode.STOPPING, "interrupted", exception);
        }
    }
}
