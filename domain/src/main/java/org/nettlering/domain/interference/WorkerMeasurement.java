package org.nettlering.domain.interference;

import java.util.List;

/**
 * A measurement of the tasks on one worker.
 *
 * @param measuredMillis the wall clock time of the measurement, in milliseconds since the epoch
 * @param services the measured services, not null
 * @param batch the measured batch tasks, not null
 */
public record WorkerMeasurement(long measuredMillis, List<MeasuredTask> services, List<MeasuredTask> batch) {

    /**
     * A measurement of one task.
     *
     * @param jobId the id of the job, not null
     * @param epoch the epoch of the task
     * @param workClass the class of the task, not null
     * @param millicores the processor use in thousandths of a processor
     * @param slowdownThousandths the slowdown in thousandths, 1000 without interference
     */
    public record MeasuredTask(String jobId, long epoch, String workClass, long millicores, int slowdownThousandths) {}
}
