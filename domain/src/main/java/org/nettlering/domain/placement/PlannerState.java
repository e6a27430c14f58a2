package org.nettlering.domain.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.estimate.ClassEstimates;
import org.nettlering.domain.interference.InterferenceController;
import org.nettlering.domain.interference.PairwiseInterferenceModel;
import org.nettlering.domain.interference.PairwiseInterferenceModel.Neighbor;
import org.nettlering.domain.task.JobSpecification;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskPhase;
import org.nettlering.domain.task.TaskState;
import org.nettlering.domain.task.Worker;

/**
 * The soft state that a planner derives from the replicated state and from worker measurements.
 *
 * <p>Each round processes only the tasks and workers that changed since the round before. Not thread-safe.
 */
final class PlannerState {
    /** Age of the last report beyond which a worker gets no new task. */
    private final long maxReportAgeMillis;

    /** Learned resource requests, power draws and run times. */
    final ClassEstimates estimates = ClassEstimates.empty();

    /** Learned slowdown of each service class by each batch class. */
    final PairwiseInterferenceModel interferenceModel = PairwiseInterferenceModel.empty();

    final InterferenceController interferenceController = InterferenceController.of(interferenceModel);

    final PendingJobs pendingJobs = new PendingJobs(estimates);

    /** Allocation totals of placed tasks. */
    final PlacedTasks placedTasks = new PlacedTasks();

    /** Schedulable workers without accelerators. */
    final WorkerIndex plainWorkers = new WorkerIndex();

    /** Schedulable workers with accelerators. */
    final WorkerIndex acceleratedWorkers = new WorkerIndex();

    final WorkerReservations workerReservations = new WorkerReservations();

    /** Placed tasks that are requested to run below full speed. */
    final Set<Task> throttledTasks = new LinkedHashSet<>();

    final Set<Task> unrunnableTasks = new LinkedHashSet<>();

    /** Pending and unrunnable jobs that have to be checked for whether they can ever run. */
    final Set<Task> tasksToCheck = new LinkedHashSet<>();

    /** Starts decided in the last round that count as placed until the next update. */
    private final List<AssumedStart> assumedStarts = new ArrayList<>();

    /** Workers that changed since the round before. */
    private Set<Worker> changedWorkers = Set.of();

    private final Map<Worker, WorkerSlot> slots = new LinkedHashMap<>();

    private final Set<Worker> quarantinedWorkers = new LinkedHashSet<>();

    /** Workers whose free capacity this planner reduced, whether or not the command was applied afterwards. */
    private final Set<Worker> workersToRefresh = new LinkedHashSet<>();

    /** Time of the last report, by worker id. */
    private final Map<String, Long> lastReportMillis = new HashMap<>();

    /** Time of the first update, 0 before it. */
    private long firstUpdateMillis;

    private Resources liveCapacity = Resources.NONE;

    /** Contribution of each worker to the live capacity. */
    private final Map<Worker, Resources> countedCapacities = new HashMap<>();

    /** Number of workers, including lost ones, of each capacity. */
    private final Map<Resources, Integer> distinctCapacities = new LinkedHashMap<>();

    /** Capacity of each worker, including lost ones, at its last update. */
    private final Map<Worker, Resources> lastCapacities = new HashMap<>();

    /** The configuration that the derived state was built for. */
    private @Nullable SiteConfiguration configuration;

    PlannerState(long maxReportAgeMillis) {
        this.maxReportAgeMillis = maxReportAgeMillis;
    }

    /** Applies the changes of the replicated state and the configuration. */
    void update(TaskState state, SiteConfiguration newConfiguration, long nowMillis) {
        firstUpdateMillis = firstUpdateMillis == 0 ? nowMillis : firstUpdateMillis;
        assumedStarts.forEach(assumedStart -> assumedStart.revert(placedTasks));
        assumedStarts.clear();
        if (configuration == null || configuration.revision() != newConfiguration.revision()) {
            configuration = newConfiguration;
            rebuild(state, newConfiguration, nowMillis);
        }
        for (Task task : state.drainChangedTasks()) {
            updateTask(task, newConfiguration, nowMillis);
        }
        changedWorkers = state.drainChangedWorkers();
        changedWorkers.forEach(worker -> updateWorker(worker, nowMillis));
        workersToRefresh.forEach(worker -> updateWorker(worker, nowMillis));
        workersToRefresh.clear();
        quarantinedWorkers.removeIf(worker -> {
            boolean expired = worker.quarantinedUntilMillis() <= nowMillis;
            if (expired) {
                updateWorker(worker, nowMillis);
            }
            return expired;
        });
        workerReservations.expire(nowMillis);
    }

    void recordReport(String workerId, long nowMillis) {
        lastReportMillis.put(workerId, nowMillis);
    }

    /**
     * Returns whether a worker reported recently enough to get new tasks.
     *
     * <p>An unresponsive worker may still hold its lease; its tasks keep running, but nothing new is sent to it.
     */
    boolean hasRecentReport(Worker worker, long nowMillis) {
        return nowMillis - lastReportMillis.getOrDefault(worker.id(), firstUpdateMillis) <= maxReportAgeMillis;
    }

    /** Returns the workers that changed since the round before. */
    Set<Worker> changedWorkers() {
        return changedWorkers;
    }

    Iterable<WorkerSlot> slots() {
        return slots.values();
    }

    /** Returns the distinct capacities of all workers, including lost ones. */
    Set<Resources> distinctCapacities() {
        return distinctCapacities.keySet();
    }

    /** Returns whether the capacity of some worker, lost or not, holds an amount. */
    boolean fitsAnyWorker(Resources amount) {
        return distinctCapacities.keySet().stream().anyMatch(amount::fitsIn);
    }

    /** Returns the total capacity of the live workers. */
    Resources liveCapacity() {
        return liveCapacity;
    }

    int slotCount() {
        return slots.size();
    }

    @Nullable
    WorkerSlot slot(Worker worker) {
        return slots.get(worker);
    }

    /** Reduces the free capacity of a worker for the rest of the round. */
    void reduceFree(WorkerSlot slot, Resources amount) {
        slot.free = slot.free.minus(amount);
        workersToRefresh.add(slot.worker);
        updateIndex(slot, slot.isIndexed() && !slot.worker.isOnProbation());
    }

    /** Counts a start as placed for the rest of the round. */
    void assumeStart(JobSpecification job, String profile, Resources request, long milliwatts, WorkerSlot slot) {
        AssumedStart assumedStart = new AssumedStart(job, profile, request, milliwatts, slot.worker);
        placedTasks.addAssumed(job, profile, request, milliwatts, slot.worker);
        assumedStarts.add(assumedStart);
        if (!job.serviceTask()) {
            slot.assumedBatchTasks.add(new Neighbor(job.workClass(), request.millicores() / 1000.0));
        }
    }

    private void rebuild(TaskState state, SiteConfiguration newConfiguration, long nowMillis) {
        pendingJobs.clear();
        placedTasks.clear();
        throttledTasks.clear();
        for (Task task : state.tasks()) {
            updateTask(task, newConfiguration, nowMillis);
        }
        tasksToCheck.addAll(unrunnableTasks);
        state.workers().forEach(worker -> updateWorker(worker, nowMillis));
    }

    private void updateTask(Task task, SiteConfiguration newConfiguration, long nowMillis) {
        placedTasks.update(task, newConfiguration);
        pendingJobs.update(task, newConfiguration, nowMillis);
        setMember(
                throttledTasks, task, task.worker() != null && task.requestedSpeedPercent() < Task.FULL_SPEED_PERCENT);
        setMember(unrunnableTasks, task, task.phase() == TaskPhase.UNRUNNABLE);
        setMember(tasksToCheck, task, task.phase().isSchedulable());
        if (!task.phase().isSchedulable()) {
            workerReservations.release(task.job().jobId());
        }
        boolean uninterrupted = task.evictions() == 0 && task.workerLosses() == 0;
        if (task.phase() == TaskPhase.DONE && uninterrupted && task.epoch() == 1) {
            estimates.addRunTime(task.job().workClass(), task.phaseStartMillis() - task.startedMillis());
        }
    }

    private static void setMember(Set<Task> set, Task task, boolean member) {
        if (member) {
            set.add(task);
        } else {
            set.remove(task);
        }
    }

    private void updateWorker(Worker worker, long nowMillis) {
        WorkerSlot slot = slots.computeIfAbsent(worker, WorkerSlot::new);
        Resources current = worker.isLive() ? worker.capacity() : Resources.NONE;
        Resources previous = countedCapacities.put(worker, current);
        liveCapacity = liveCapacity.plus(current).minus(previous == null ? Resources.NONE : previous);
        slot.free = worker.free();
        slot.assumedBatchTasks.clear();
        if (worker.quarantinedUntilMillis() > nowMillis) {
            quarantinedWorkers.add(worker);
        }
        updateIndex(slot, isSchedulable(worker, nowMillis));
        updateDistinctCapacities(worker);
    }

    private void updateDistinctCapacities(Worker worker) {
        Resources previous = lastCapacities.put(worker, worker.capacity());
        if (worker.capacity().equals(previous)) {
            return;
        }
        if (previous != null && distinctCapacities.merge(previous, -1, Integer::sum) == 0) {
            distinctCapacities.remove(previous);
        }
        if (distinctCapacities.merge(worker.capacity(), 1, Integer::sum) == 1) {
            tasksToCheck.addAll(unrunnableTasks);
        }
    }

    private static boolean isSchedulable(Worker worker, long nowMillis) {
        return worker.isLive()
                && worker.quarantinedUntilMillis() <= nowMillis
                && (!worker.isOnProbation() || worker.tasks().isEmpty());
    }

    /**
     * Adds a worker to the index for its kind, or removes it if it is not schedulable.
     *
     * <p>A worker may register again with other accelerators, which moves it to the other index.
     */
    private void updateIndex(WorkerSlot slot, boolean schedulable) {
        WorkerIndex index = slot.worker.capacity().accelerators() > 0 ? acceleratedWorkers : plainWorkers;
        if (slot.index != null && slot.index != index) {
            slot.index.update(slot, false);
        }
        slot.index = index;
        index.update(slot, schedulable);
    }

    /** A start that was decided and may not be applied yet. */
    private record AssumedStart(
            JobSpecification job, String profile, Resources request, long milliwatts, Worker worker) {
        private void revert(PlacedTasks placedTasks) {
            placedTasks.removeAssumed(job, profile, request, milliwatts, worker);
        }
    }
}
