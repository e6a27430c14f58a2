package org.nettlering.benchmarks.capacity;

import org.nettlering.standins.site.ProcessCounters;

/**
 * What one unit of work costs one role.
 *
 * @param processorMicros processor time in microseconds
 * @param readBytes the bytes read
 * @param writtenBytes the bytes written
 */
record UnitCost(double processorMicros, double readBytes, double writtenBytes) {
    private static final double MICROS_PER_MILLI = 1_000.0;

    /** Divides what was used beyond an idle process by the number of units. */
    static UnitCost of(ProcessCounters used, ProcessCounters idle, long units) {
        ProcessCounters extra = used.since(idle);
        return new UnitCost(
                extra.processorMillis() * MICROS_PER_MILLI / units,
                (double) extra.readBytes() / units,
                (double) extra.writtenBytes() / units);
    }
}
