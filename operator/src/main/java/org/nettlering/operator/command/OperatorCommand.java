package org.nettlering.operator.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;

/** A command with the options that every command has; filled in by args4j. */
public abstract class OperatorCommand {
    private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

    /** The entries. */
    @Option(
            name = "--entry",
            metaVar = "IP:PORT",
            usage = "operators' port of an entry; repeat it for more entries, which are asked in order")
    private List<String> entries = new ArrayList<>();

    /** Whether to print the answer as JSON. */
    @Option(name = "--json", usage = "print the answer as JSON")
    private boolean json;

    /** How long all attempts may take. */
    @Option(name = "--timeout-millis", metaVar = "N", usage = "how long all attempts may take together")
    private long timeoutMillis = DEFAULT_TIMEOUT_MILLIS;

    /** Whether help was asked for. */
    @Option(name = "--help", help = true, usage = "print this text")
    private boolean help;

    /**
     * Carries the command out.
     *
     * @param session reaches the system and prints the answer, not null
     * @throws org.nettlering.domain.error.NettleringException if the command cannot be carried out
     */
    public abstract void run(Session session);

    /**
     * Returns the entries that the command line names.
     *
     * @return the addresses as text, never null
     */
    public List<String> entries() {
        return List.copyOf(entries);
    }

    /**
     * Tells whether the answer is printed as JSON.
     *
     * @return true for JSON
     */
    public boolean isJson() {
        return json;
    }

    /**
     * Returns how long all attempts may take together.
     *
     * @return the timeout, never null
     */
    public Duration timeout() {
        return Duration.ofMillis(Math.max(1, timeoutMillis));
    }

    /**
     * Tells whether help was asked for.
     *
     * @return true if the command shall not run
     */
    public boolean isHelp() {
        return help;
    }
}
