package org.nettlering.domain.worker;

import java.util.List;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.TerminationReason;

/**
 * The periodic report of a worker on itself and its tasks.
 *
 * <p>Immutable and thread-safe.
 *
 * @param workerId the id of the worker, not null
 * @param incarnation incremented with each start of the worker process
 * @param sequence incremented with each report of an incarnation
 * @param capacity the capacity of the worker, not null
 * @param rack the rack of the worker, not null
 * @param failureDomain the failure domain of the worker, not null
 * @param idleMilliwatts the power of the worker without any task
 * @param running all running tasks, not null
 * @param terminated the unacknowledged terminations, not null
 * @param usage the measurements since the last report, not null
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

    /** A running task, with the version of the speed in force and its last checkpoint. */
    public record Running(String jobId, long epoch, long throttleVersion, long checkpoint) {}

    /** A terminated task. */
    public record Terminated(String jobId, long epoch, TerminationReason reason, long checkpoint, String detail) {}

    /**
     * The measured resource usage of a task.
     *
     * @param jobId the id of the job, not null
     * @param epoch the measured epoch
     * @param measuredMillis the wall-clock time of the measurement, in milliseconds since the epoch
     * @param millicores the processor usage
     * @param memoryMebibytes the memory usage
     * @param milliwatts the power
     * @param slowdownThousandths the run time relative to running alone, in thousandths; 1000 is no interference, 0 is
     *     unknown
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
