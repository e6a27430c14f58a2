package org.nettlering.domain.task;

/**
 * What a job asks for, as it was submitted.
 *
 * <p>Declared sizes and run times may be wrong; {@code domain.placement} corrects them from what is measured. Immutable
 * and thread-safe.
 *
 * @param jobId the id that the submitter chose, unique in the site, not empty, not null
 * @param team the team whose quota it counts against, not null
 * @param profile the profile it runs under when it belongs to no configured service, not null
 * @param service the service it belongs to, which names the profile; empty if none, not null
 * @param workClass the class by which sizes, run times and interference are learned, not null
 * @param declaredResources the declared size, not null
 * @param powerMilliwatts the declared draw at full speed, not negative
 * @param declaredRunTimeMillis the declared run time, zero if unknown
 * @param deadlineMillis the wall-clock deadline in milliseconds since the epoch, zero if none
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
