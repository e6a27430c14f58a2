package org.nettlering.domain.task;

/**
 * The submitted specification of a job.
 *
 * <p>Declared resources and run times may be inaccurate; {@code domain.placement} corrects them from measurements.
 * Immutable and thread-safe.
 *
 * @param jobId the id chosen by the submitter, unique in the cluster, not empty, not null
 * @param team the team whose quota is charged, not null
 * @param profile the profile that applies if the job belongs to no configured service, not null
 * @param service the service to which the job belongs and which determines the profile; empty if none, not null
 * @param workClass the class of jobs for which resource usage, run time and interference are estimated together,
 *     not null
 * @param declaredResources the resource request, not null
 * @param powerMilliwatts the declared power at full speed, not negative
 * @param declaredRunTimeMillis the declared run time, 0 if unknown
 * @param deadlineMillis the wall-clock deadline in milliseconds since the epoch, 0 if none
 * @param serviceTask true for a long-running instance of a latency-critical service
 */
public record JobSpecification(
        String jobId,
        String team,
        String profile,
        String service,
        String workClass,
        Resources declaredResources,
        long powerMilliwatts,
        long declaredRunTimeMillis,
        long deadlineMillis,
        boolean serviceTask) {}
