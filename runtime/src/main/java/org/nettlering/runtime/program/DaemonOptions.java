package org.nettlering.runtime.program;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/** The options of the long-running programs; filled in by args4j. */
final class DaemonOptions {
    /** The settings file. */
    @Option(name = "--settings", metaVar = "FILE", usage = "settings file in INI format")
    private @Nullable String settings;

    /** Whether to check the settings alone. */
    @Option(name = "--check", usage = "check the settings and exit")
    private boolean check;

    /** Whether help was asked for. */
    @Option(name = "--help", help = true, usage = "print this text")
    private boolean help;

    @Nullable
    String settings() {
        return settings;
    }

    boolean isCheck() {
        return check;
    }

    boolean isHelp() {
        return help;
    }
}
