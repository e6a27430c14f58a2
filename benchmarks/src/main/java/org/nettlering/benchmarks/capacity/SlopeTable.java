package org.nettlering.benchmarks.capacity;

import java.io.PrintStream;
import java.util.Locale;
import java.util.Map;

/** Prints the measured slopes. */
final class SlopeTable {
    /** Where the table goes. */
    private final PrintStream output;

    SlopeTable(PrintStream output) {
        this.output = output;
    }

    void printHeader() {
        output.println(String.format(
                Locale.ROOT, "%-30s %-18s %12s %12s %12s", "unit", "role", "processor us", "bytes in", "bytes out"));
    }

    void printCosts(String unit, Map<String, UnitCost> costs) {
        costs.forEach((role, cost) -> output.println(String.format(
                Locale.ROOT,
                "%-30s %-18s %12.0f %12.0f %12.0f",
                unit,
                role,
                cost.processorMicros(),
                cost.readBytes(),
                cost.writtenBytes())));
    }

    void printMemory(String unit, Map<String, Long> before, Map<String, Long> after, int units) {
        after.forEach((role, bytes) -> {
            double perUnit = (double) (bytes - before.getOrDefault(role, 0L)) / units;
            output.println(String.format(
                    Locale.ROOT, "%-30s %-18s %12.0f bytes of live heap", "memory a " + unit, role, perUnit));
        });
    }

    void printLine(String name, Object value) {
        output.println(String.format(Locale.ROOT, "%-49s %s", name, value));
    }
}
