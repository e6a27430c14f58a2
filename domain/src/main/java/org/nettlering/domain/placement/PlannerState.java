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
 * What the planner has derived from the replicated state and from measurements.
 *
 * <p>Brought up to date by what changed since the last round, not by looking at everything. Not thread-safe.
 */
final class PlannerState {
    /** How long a worker may be silent before it gets no new task. */
    private final long maxReportAgeMillis;

    /** Learned sizes, draws and run times. */
    final ClassEstimates estimates = ClassEstimates.empty();

    /** Learned pairs of service and batch class. */
    final PairwiseInterferenceModel interferenceModel = PairwiseInterferenceModel.empty();

    /** Watches the services. */
    final InterferenceController interferenceController = InterferenceController.of(interferenceModel);

    /** Jobs that wait. */
    final PendingJobs pendingJobs = new PendingJobs(estimates);

    /** Sums of what is placed. */
    final PlacedTasks placedTasks = new PlacedTasks();

    /** Workers without accelerators that are offered. */
    final WorkerIndex plainWorkers = new WorkerIndex();

    /** Workers with accelerators that are offered. */
    final WorkerIndex acceleratedWorkers = new WorkerIndex();

    /** Workers kept for a job. */
    final WorkerReservations workerReservations = new WorkerReservations();

    /** Placed tasks below full speed. */
    final Set<Task> throttledTasks = new LinkedHashSet<>();

    /** Jobs named unrunnable. */
    final Set<Task> unrunnableTasks = new LinkedHashSet<>();

    /** Waiting jobs that were not checked for being runnable. */
    final Set<Task> tasksToCheck = new LinkedHashSet<>();

    /** Starts that were decided and are not applied yet. */
    private final List<AssumedStart> assumedStarts = new ArrayList<>();

    /** Workers that changed in this round. */
    private Set<Worker> changedWorkers = Set.of();

    /** What the planner keeps of each worker. */
    private final Map<Worker, WorkerSlot> slots = new LinkedHashMap<>();

    /** Workers whose time in quarantine runs. */
    private final Set<Worker> quarantinedWorkers = new LinkedHashSet<>();

    /** Workers that this planner gave something away of, whether or not it was accepted. */
    private final Set<Worker> workersToRefresh = new LinkedHashSet<>();

    /** When each worker was last heard of. */
    private final Map<String, Long> lastReportMillis = new HashMap<>();

    /** When this planner first looked, zero before. */
    private long firstUpdateMillis;

    /** What all live workers offer. */
    private Resources liveCapacity = Resources.NONE;

    /** What each worker counts for in the capacity of the site. */
    private final Map<Worker, Resources> countedCapacities = new HashMap<>();

    /** How many workers, lost ones included, offer each amount. */
    private final Map<Resources, Integer> distinctCapacities = new LinkedHashMap<>();

    /** What each worker, lost or not, offered when it was last looked at. */
    private final Map<Worker, Resources> lastCapacities = new HashMap<>();

    /** The configuration that the sums are made for. */
    private @Nullable SiteConfiguration configuration;

    PlannerState(long maxReportAgeMillis) {
        this.maxReportAgeMillis = maxReportAgeMillis;
    }

    /** Brings everything up to date with the state. */
    void update(TaskState state, SiteConfiguration latest, long nowMillis) {
        firstUpdateMillis = firstUpdateMillis == 0 ? nowMillis : firstUpdateMillis;
        assumedStarts.forEach(assumedStart -> assumedStart.revert(placedTasks));
        assumedStarts.clear();
        if (configuration == null || configuration.revision() != latest.revision()) {
            configuration = latest;
            rebuild(state, latest, nowMillis);
        }
        for (Task task : state.drainChangedTasks()) {
            updateTask(task, latest, nowMillis);
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

    /** Notes that a worker reported. */
    void recordReport(String workerId, long nowMillis) {
        lastReportMillis.put(workerId, nowMillis);
    }

    /** Tells whether a worker reported lately; its lease may still run when it did not, but nothing new is sent there. */
    boolean hasRecentReport(Worker worker, long nowMillis) {
        return nowMillis - lastReportMillis.getOrDefault(worker.id(), firstUpdateMillis) <= maxReportAgeMillis;
    }

    /** Returns the workers that changed since the round before. */
    Set<Worker> changedWorkers() {
        return changedWorkers;
    }

    /** Returns the workers that the planner knows. */
    Iterable<WorkerSlot> slots() {
        return slots.values();
    }

    /** Returns the amounts that workers offer, lost ones included. */
    Set<Resources> distinctCapacities() {
        return distinctCapacities.keySet();
    }

    /** Tells whether some worker, lost or not, could hold an amount. */
    boolean fitsAnyWorker(Resources amount) {
        return distinctCapacities.keySet().stream().anyMatch(amount::fitsIn);
    }

    /** Returns what all live workers offer. */
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

    /** Takes an amount off a worker for the rest of the round. */
    void reduceFree(WorkerSlot slot, Resources amount) {
        slot.free = slot.free.minus(amount);
        workersToRefresh.add(slot.worker);
        updateIndex(slot, slot.isIndexed() && !slot.worker.isOnProbation());
    }

    /** Counts a start for the rest of the round. */
    void assumeStart(JobSpecification job, String profile, Resources request, long milliwatts, WorkerSlot slot) {
        AssumedStart assumedStart = new AssumedStart(job, profile, request, milliwatts, slot.worker);
        placedTasks.addAssumed(job, profile, request, milliwatts, slot.worker);
        assumedStarts.add(assumedStart);
        if (!job.serviceTask()) {
            slot.assumedBatchTasks.add(new Neighbor(job.workClass(), request.millicores() / 1000.0));
        }
    }

    private void rebuild(TaskState state, SiteConfiguration latest, long nowMillis) {
        pendingJobs.clear();
        placedTasks.clear();
        throttledTasks.clear();
        for (Task task : state.tasks()) {
            updateTask(task, latest, nowMillis);
        }
        tasksToCheck.addAll(unrunnableTasks);
        state.workers().forEach(worker -> updateWorker(worker, nowMillis));
    }

    private void updateTask(Task task, SiteConfiguration latest, long nowMillis) {
        placedTasks.update(task, latest);
        pendingJobs.update(task, latest, nowMillis);
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

    /** Offers a worker in the index for its kind, or takes it out; a worker may come back with other accelerators. */
    private void updateIndex(WorkerSlot slot, boolean schedulable) {
        WorkerIndex index = slot.worker.capacity().accelerators() > 0 ? acceleratedWorkers : plainWorkers;
        if (slot.index != null && slot.index != index) {
            slot.index.update(slot, false);
        }
        slot.index = index;
        index.update(slot, schedulable);
    }

    /** A start that was decided and is not applied yet. */
    private record AssumedStart(
            JobSpecification job, String profile, Resources request, long milliwatts, Worker worker) {
        private void revert(PlacedTasks placedTasks) {
            placedTasks.removeAssumed(job, profile, request, milliwatts, worker);
        }
    }
}
