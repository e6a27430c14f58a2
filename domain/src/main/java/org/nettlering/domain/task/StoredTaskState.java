package org.nettlering.domain.task;

import java.util.List;

/**
 * The snapshot representation of the complete {@link TaskState}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param tasks the jobs in the order of submission, not null
 * @param workers the workers in the order of their first registration, not null
 * @param finishedJobIds ids of the finished jobs whose details are retained, oldest first, not null
 * @param idOnlyJobIds ids of the finished jobs without retained details, oldest first, not null
 * @param peakMilliwatts the highest allocated power so far
 */
public record StoredTaskState(
        List<StoredTask> tasks,
        List<StoredWorker> workers,
        List<String> finishedJobIds,
        List<String> idOnlyJobIds,
        long peakMilliwatts) {}
