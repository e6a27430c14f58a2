package org.nettlering.domain.placement;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.interference.PairwiseInterferenceModel.Neighbor;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.Worker;

/** A worker as the planner sees it, with what this round has already given away taken off. Not thread-safe. */
final class WorkerSlot {
    /** The worker. */
    final Worker worker;

    /** What is left after the commitments and this round's decisions. */
    Resources free;

    /** The batch tasks that this round starts here. */
    final List<Neighbor> assumedBatchTasks = new ArrayList<>(0);

    /** The index that it was last offered in. */
    @Nullable
    WorkerIndex index;

    /** The row of the index that it stands in, negative when it is not offered. */
    int row = -1;

    /** The column of the index. */
    int column = -1;

    /** Its place within the cell. */
    int cellPosition = -1;

    WorkerSlot(Worker worker) {
        this.worker = worker;
        this.free = worker.free();
    }

    boolean isIndexed() {
        return row >= 0;
    }
}
