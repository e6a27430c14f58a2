package org.nettlering.domain.placement;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.interference.PairwiseInterferenceModel.Neighbor;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.Worker;

/** The planner's view of a worker, which includes the decisions of the current round. Not thread-safe. */
final class WorkerSlot {
    final Worker worker;

    /** Capacity left after allocations and the decisions of the current round. */
    Resources free;

    /** Batch tasks that the current round starts on this worker. */
    final List<Neighbor> assumedBatchTasks = new ArrayList<>(0);

    /** The index that this worker was last added to. */
    @Nullable
    WorkerIndex index;

    /** Row within the index, negative if this worker is not indexed. */
    int row = -1;

    /** Column within the index, negative if this worker is not indexed. */
    int column = -1;

    /** Position within the cell, negative if this worker is not indexed. */
    int cellPosition = -1;

    WorkerSlot(Worker worker) {
        this.worker = worker;
        this.free = worker.free();
    }

    boolean isIndexed() {
        return row >= 0;
    }
}
