package org.nettlering.domain.interference;

import java.util.List;

/**
 * What was measured on one worker at one moment.
 *
 * @param measuredMillis the wall clock of the measurement, in milliseconds since the epoch
 * @param services the services that were measured, not null
 * @param batch the batch tasks that were measured, not null
 */
public record WorkerMeasurement(long measuredMillis, List<MeasuredTask> services, List<MeasuredTask> batch) {

    /**
     * One task that was measured.
     *
     * @param jobId the job, not null
     * @param epoch the epoch
     * @param workClass the class, not null
     * @param millicores processor use
     * @param slowdownThousandths slowdown, 1000 when undisturbed
     */
    public record MeasuredTask(String jobId, long epoch, String workClass, long millicores, int slowdownThousandths) {}
}
