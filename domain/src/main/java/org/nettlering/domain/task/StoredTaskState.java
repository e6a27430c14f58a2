package org.nettlering.domain.task;

import java.util.List;

/**
 * The whole task state as it is written into a snapshot.
 *
 * <p>Immutable and thread-safe.
 *
 * @param tasks the jobs in the order of submission, not null
 * @param workers the workers in the order of their first registration, not null
 * @param finishedJobIds ended jobs whose details are kept, the oldest first, not null
 * @param idOnlyJobIds ended jobs of which only the id is kept, the oldest first, not null
 * @param peakMilliwatts the largest committed draw so far
 */
public record StoredTaskState(
        List<StoredTask> tasks,
        List<StoredWorker> workers,
        List<String> finishedJobIds,
        List<String> idOnlyJobIds,
        long peakMilliwatts) {}
