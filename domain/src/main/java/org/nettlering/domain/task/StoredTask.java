package org.nettlering.domain.task;

import java.util.List;

/**
 * The snapshot representation of a {@link Task}, with the same components.
 *
 * <p>Immutable and thread-safe.
 */
public record StoredTask(
        JobSpecification job,
        String operationId,
        long submittedMillis,
        TaskPhase phase,
        long epoch,
        String workerId,
        Resources allocation,
        long powerMilliwatts,
        int allocatedSpeedPercent,
        int requestedSpeedPercent,
        long throttleVersion,
        long speedChangedMillis,
        long checkpoint,
        long checkpointMillis,
        long resumeCheckpoint,
        long startedMillis,
        long phaseStartMillis,
        long graceMillis,
        int evictions,
        int workerLosses,
        List<String> failedWorkerIds,
        List<Decision> decisions) {}
