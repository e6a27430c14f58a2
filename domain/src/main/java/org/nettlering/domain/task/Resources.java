package org.nettlering.domain.task;

/**
 * An amount of a worker's processors, memory and accelerators, in whole units.
 *
 * <p>Used for capacities and commitments. Immutable and thread-safe.
 *
 * @param millicores thousandths of a processor, not negative
 * @param memoryMebibytes memory in MiB, not negative
 * @param accelerators whole accelerators, not negative
 */
public record Resources(long millicores, long memoryMebibytes, int accelerators) {
    /** Nothing at all. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /**
     * Returns the amount.
     *
     * @param millicores thousandths of a processor, not negative
     * @param memoryMebibytes memory in MiB, not negative
     * @param accelerators whole accelerators, not negative
     * @return the amount, never null
     */
    public static Resources of(long millicores, long memoryMebibytes, int accelerators) {
        return new Resources(millicores, memoryMebibytes, accelerators);
    }

    /**
     * Tells whether this amount fits into another.
     *
     * @param available the amount that is available, not null
     * @return true when no kind exceeds what is available
     */
    public boolean fitsIn(Resources available) {
        return millicores <= available.millicores
                && memoryMebibytes <= available.memoryMebibytes
                && accelerators <= available.accelerators;
    }

    /**
     * Returns the sum of two amounts.
     *
     * @param other what to add, not null
     * @return the sum, never null
     */
    public Resources plus(Resources other) {
        return new Resources(
                millicores + other.millicores,
                memoryMebibytes + other.memoryMebibytes,
                accelerators + other.accelerators);
    }

    /**
     * Returns the difference of two amounts.
     *
     * @param other what to take away, not null
     * @return the difference, with negative kinds where more was taken than there was, never null
     */
    public Resources minus(Resources other) {
        return new Resources(
                millicores - other.millicores,
                memoryMebibytes - other.memoryMebibytes,
                accelerators - other.accelerators);
    }

    /**
     * Returns the larger of two amounts, kind by kind.
     *
     * @param other the other amount, not null
     * @return the larger of each kind, never null
     */
    public Resources max(Resources other) {
        return new Resources(
                Math.max(millicores, other.millicores),
                Math.max(memoryMebibytes, other.memoryMebibytes),
                Math.max(accelerators, other.accelerators));
    }

    /**
     * Returns the smaller of two amounts, kind by kind.
     *
     * @param other the other amount, not null
     * @return the smaller of each kind, never null
     */
    public Resources min(Resources other) {
        return new Resources(
                Math.min(millicores, other.millicores),
                Math.min(memoryMebibytes, other.memoryMebibytes),
                Math.min(accelerators, other.accelerators));
    }

    /**
     * Tells whether any kind is negative.
     *
     * @return true when at least one kind is below zero
     */
    public boolean isNegative() {
        return millicores < 0 || memoryMebibytes < 0 || accelerators < 0;
    }

    @Override
    public String toString() {
        return millicores + " millicores, " + memoryMebibytes + " MiB, " + accelerators + " accelerators";
    }
}
