package org.nettlering.domain.task;

import java.util.List;

/**
 * A job as it is written into a snapshot.
 *
 * <p>Immutable and thread-safe; the components are those of {@link Task}.
 */
public record TaskImage(
        JobSpecification job,
        String operationId,
        long submittedMillis,
        TaskPhase phase,
        long epoch,
        String workerId,
        Resources commitment,
        long powerMilliwatts,
        int committedPercent,
        int throttlePercent,
        long throttleVersion,
        long throttledMillis,
        long checkpoint,
        long checkpointMillis,
        long resumedFrom,
        long startedMillis,
        long phaseMillis,
        long graceMillis,
        int evictions,
        int losses,
        List<String> failedOn,
        List<Decision> decisions) {}
