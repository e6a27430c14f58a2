package org.nettlering.standins.demo;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The table of a demonstration and whether its promises held.
 *
 * <p>Not thread-safe.
 */
final class Verdict {
    /** The lines of the table. */
    private final List<String> lines = new ArrayList<>();

    /** The promises that did not hold. */
    private final List<String> broken = new ArrayList<>();

    /** Adds a figure that is only reported. */
    void report(String name, Object value) {
        lines.add(String.format(Locale.ROOT, "  %-34s %s", name, value));
    }

    /** Adds a figure that a promise depends on. */
    void check(String name, Object value, boolean held) {
        report(name, value + (held ? "" : "   BROKEN"));
        if (!held) {
            broken.add(name + ": " + value);
        }
    }

    boolean isKept() {
        return broken.isEmpty();
    }

    void print(PrintStream output) {
        lines.forEach(output::println);
        output.println(isKept() ? "All promises held." : "Broken: " + String.join("; ", broken));
    }
}
