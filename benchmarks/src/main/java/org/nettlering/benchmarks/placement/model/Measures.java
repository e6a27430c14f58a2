package org.nettlering.benchmarks.placement.model;

/**
 * What one run measured.
 *
 * @param serviceP50 the slowdown of services that half of the samples do not exceed
 * @param serviceP99 the slowdown of services that 99 of 100 samples do not exceed
 * @param workFinished batch work finished, in processor seconds
 * @param jobsFinished batch jobs finished
 * @param evictions tasks that were evicted
 * @param losses tasks that lost their worker
 * @param workLostToStops work lost to evictions and cancellations, in processor seconds
 * @param workLostToFaults work lost to failing hosts, processes and leases, in processor seconds
 * @param missedDeadlines jobs that were due within the run and were not done in time
 * @param deadlines jobs that were due within the run
 * @param peakMilliwatts the largest committed draw
 * @param peakTrueMilliwatts the largest true draw
 * @param aboveCapMillis how long the committed draw was above an unchanged cap
 * @param aboveLoweredCapMillis how long the committed draw was above the lowered cap
 * @param urgentStartP99Millis how long urgent jobs waited until they ran, 99 of 100
 * @param waitP50Millis how long half of the batch jobs waited at the most until they first ran
 * @param unrunnable jobs that were named unrunnable
 * @param refusals commands that the state refused
 */
public record Measures(
        double serviceP50,
        double serviceP99,
        double workFinished,
        int jobsFinished,
        int evictions,
        int losses,
        double workLostToStops,
        double workLostToFaults,
        int missedDeadlines,
        int deadlines,
        long peakMilliwatts,
        double peakTrueMilliwatts,
        long aboveCapMillis,
        long aboveLoweredCapMillis,
        long urgentStartP99Millis,
        long waitP50Millis,
        int unrunnable,
        int refusals) {}
