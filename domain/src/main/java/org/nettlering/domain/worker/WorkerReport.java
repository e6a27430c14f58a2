package org.nettlering.domain.worker;

import java.util.List;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.TerminationReason;

/**
 * What a worker says about itself and its tasks.
 *
 * <p>Immutable and thread-safe.
 *
 * @param workerId the worker's id, not null
 * @param incarnation raised at each start of the worker's process
 * @param sequence raised by each report of one incarnation
 * @param capacity what it offers, not null
 * @param rack the rack it sits in, not null
 * @param failureDomain the failure domain it belongs to, not null
 * @param idleMilliwatts its draw without any task
 * @param running every task that runs, not null
 * @param terminated tasks that ended and were not acknowledged, not null
 * @param usage what was measured since the last report, not null
 */
public record WorkerReport(
        String workerId,
        long incarnation,
        long sequence,
        Resources capacity,
        String rack,
        String failureDomain,
        long idleMilliwatts,
        List<Running> running,
        List<Terminated> terminated,
        List<Usage> usage) {

    /** A task that runs. */
    public record Running(String jobId, long epoch, long throttleVersion, long checkpoint) {}

    /** A task that ended. */
    public record Terminated(String jobId, long epoch, TerminationReason reason, long checkpoint, String detail) {}

    /**
     * What one task used, at the time when it was measured.
     *
     * @param jobId the job, not null
     * @param epoch the epoch that was measured
     * @param measuredMillis the wall clock of the measurement, in milliseconds since the epoch
     * @param millicores processor use
     * @param memoryMebibytes memory use
     * @param milliwatts draw
     * @param slowdownThousandths slowdown against running alone; 1000 is undisturbed, zero is unknown
     */
    public record Usage(
            String jobId,
            long epoch,
            long measuredMillis,
            long millicores,
            long memoryMebibytes,
            long milliwatts,
            int slowdownThousandths) {}
}
