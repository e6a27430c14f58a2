package org.nettlering.domain.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskState;

/** Compares the index with a linear scan over the same seeded random changes. */
class WorkerIndexTest {
    private static final int WORKER_COUNT = 200;

    private final Random random = new Random(11);
    private final WorkerIndex index = new WorkerIndex();
    private final List<WorkerSlot> slots = new ArrayList<>();

    @Test
    void indexFindsWorkerWheneverLinearScanDoes() {
        addWorkers();
        int successfulSearches = 0;
        for (int round = 0; round < 20_000; round++) {
            WorkerSlot changed = slots.get(random.nextInt(WORKER_COUNT));
            changed.free = randomResources(30_000, 128_000);
            index.update(changed, random.nextInt(10) > 0);
            Resources request = randomResources(40_000, 140_000);

            List<WorkerSlot> candidates = index.candidates(request, 24, slot -> true);

            boolean scanFindsWorker = slots.stream().anyMatch(slot -> slot.isIndexed() && request.fitsIn(slot.free));
            assertThat(candidates.isEmpty()).isEqualTo(!scanFindsWorker);
            assertThat(candidates).allMatch(slot -> slot.isIndexed() && request.fitsIn(slot.free));
            assertThat(candidates).doesNotHaveDuplicates();
            successfulSearches += candidates.isEmpty() ? 0 : 1;
        }
        assertThat(successfulSearches).isPositive();
    }

    private void addWorkers() {
        TaskState state = TaskState.empty();
        for (int number = 0; number < WORKER_COUNT; number++) {
            state.apply(
                    new TaskCommand.RegisterWorker(
                            0, "worker-" + number, 1, Resources.of(30_000, 128_000, 0), "", "", 0, List.of()),
                    0);
        }
        state.workers().forEach(worker -> slots.add(new WorkerSlot(worker)));
    }

    private Resources randomResources(int millicores, int mebibytes) {
        return Resources.of(random.nextInt(millicores), random.nextInt(mebibytes), 0);
    }
}
