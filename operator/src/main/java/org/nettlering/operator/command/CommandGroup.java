package org.nettlering.operator.command;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/** A group of commands, such as {@code profile}; filled in by args4j. */
public abstract class CommandGroup {
    /** Whether help was asked for. */
    @Option(name = "--help", help = true, usage = "print this text")
    private boolean help;

    /**
     * Returns the command that was chosen.
     *
     * @return the command or a group of commands, or null if none was named
     */
    public abstract @Nullable Object chosen();

    /**
     * Tells whether help was asked for.
     *
     * @return true if no command shall run
     */
    public boolean isHelp() {
        return help;
    }
}
