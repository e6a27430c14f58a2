package org.nettlering.domain.task;

/**
 * An amount of processor time, memory and accelerators.
 *
 * <p>Used for the capacities of workers and for requests and allocations of tasks. Immutable and thread-safe.
 *
 * @param millicores thousandths of a processor, not negative
 * @param memoryMebibytes memory in MiB, not negative
 * @param accelerators whole accelerators, not negative
 */
public record Resources(long millicores, long memoryMebibytes, int accelerators) {
    /** Zero of each resource. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /**
     * Returns an amount of resources.
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
     * Returns whether this amount fits into another.
     *
     * @param available the available amount, not null
     * @return true if no resource exceeds the available amount
     */
    public boolean fitsIn(Resources available) {
        return millicores <= available.millicores
                && memoryMebibytes <= available.memoryMebibytes
                && accelerators <= available.accelerators;
    }

    /**
     * Returns the sum of two amounts.
     *
     * @param other the amount to add, not null
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
     * @param other the amount to subtract, not null
     * @return the difference, negative for resources of which more was subtracted than present, never null
     */
    public Resources minus(Resources other) {
        return new Resources(
                millicores - other.millicores,
                memoryMebibytes - other.memoryMebibytes,
                accelerators - other.accelerators);
    }

    /**
     * Returns the maximum of two amounts for each resource.
     *
     * @param other the other amount, not null
     * @return the larger value of each resource, never null
     */
    public Resources max(Resources other) {
        return new Resources(
                Math.max(millicores, other.millicores),
                Math.max(memoryMebibytes, other.memoryMebibytes),
                Math.max(accelerators, other.accelerators));
    }

    /**
     * Returns the minimum of two amounts for each resource.
     *
     * @param other the other amount, not null
     * @return the smaller value of each resource, never null
     */
    public Resources min(Resources other) {
        return new Resources(
                Math.min(millicores, other.millicores),
                Math.min(memoryMebibytes, other.memoryMebibytes),
                Math.min(accelerators, other.accelerators));
    }

    /**
     * Returns whether any resource is negative.
     *
     * @return true if at least one resource is negative
     */
    public boolean isNegative() {
        return millicores < 0 || memoryMebibytes < 0 || accelerators < 0;
    }

    @Override
    public String toString() {
        return millicores + " millicores, " + memoryMebibytes + " MiB, " + accelerators + " accelerators";
    }
}
