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
import org.nettlering.domain.interference.InterferenceGuard;
import org.nettlering.domain.interference.InterferenceModel;
import org.nettlering.domain.interference.InterferenceModel.Neighbor;
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
final class Site {
    /** How long a worker may be silent before it gets no new task. */
    private final long silentMillis;

    /** Learned sizes, draws and run times. */
    final ClassEstimates estimates = ClassEstimates.empty();

    /** Learned pairs of service and batch class. */
    final InterferenceModel model = InterferenceModel.empty();

    /** Watches the services. */
    final InterferenceGuard guard = InterferenceGuard.of(model);

    /** Jobs that wait. */
    final WaitingJobs waiting = new WaitingJobs(estimates);

    /** Sums of what is placed. */
    final PlacedTasks placed = new PlacedTasks();

    /** Workers without accelerators that are offered. */
    final WorkerIndex plainWorkers = new WorkerIndex();

    /** Workers with accelerators that are offered. */
    final WorkerIndex acceleratedWorkers = new WorkerIndex();

    /** Workers kept for a job. */
    final Claims claims = new Claims();

    /** Placed tasks below full speed. */
    final Set<Task> slowed = new LinkedHashSet<>();

    /** Jobs named unrunnable. */
    final Set<Task> unrunnable = new LinkedHashSet<>();

    /** Waiting jobs that were not checked for being runnable. */
    final Set<Task> unchecked = new LinkedHashSet<>();

    /** Starts that were decided and are not applied yet. */
    private final List<Reservation> reservations = new ArrayList<>();

    /** Workers that changed in this round. */
    private Set<Worker> changedWorkers = Set.of();

    /** What the planner keeps of each worker. */
    private final Map<Worker, WorkerSlot> slots = new LinkedHashMap<>();

    /** Workers whose time in quarantine runs. */
    private final Set<Worker> quarantined = new LinkedHashSet<>();

    /** Workers that this planner gave something away of, whether or not it was accepted. */
    private final Set<Worker> touched = new LinkedHashSet<>();

    /** When each worker was last heard of. */
    private final Map<String, Long> heardMillis = new HashMap<>();

    /** When this planner first looked, zero before. */
    private long beganMillis;

    /** What all live workers offer. */
    private Resources capacity = Resources.NONE;

    /** What each worker counts for in the capacity of the site. */
    private final Map<Worker, Resources> counted = new HashMap<>();

    /** How many workers, lost ones included, offer each amount. */
    private final Map<Resources, Integer> capacities = new LinkedHashMap<>();

    /** What each worker, lost or not, offered when it was last looked at. */
    private final Map<Worker, Resources> offers = new HashMap<>();

    /** The configuration that the sums are made for. */
    private @Nullable SiteConfiguration configuration;

    Site(long silentMillis) {
        this.silentMillis = silentMillis;
    }

    /** Brings everything up to date with the state. */
    void update(TaskState state, SiteConfiguration latest, long nowMillis) {
        beganMillis = beganMillis == 0 ? nowMillis : beganMillis;
        reservations.forEach(reservation -> reservation.undo(placed));
        reservations.clear();
        if (configuration == null || configuration.revision() != latest.revision()) {
            configuration = latest;
            rebuild(state, latest, nowMillis);
        }
        for (Task task : state.drainChangedTasks()) {
            updateTask(task, latest, nowMillis);
        }
        changedWorkers = state.drainChangedWorkers();
        changedWorkers.forEach(worker -> updateWorker(worker, nowMillis));
        touched.forEach(worker -> updateWorker(worker, nowMillis));
        touched.clear();
        quarantined.removeIf(worker -> {
            boolean over = worker.quarantinedUntilMillis() <= nowMillis;
            if (over) {
                updateWorker(worker, nowMillis);
            }
            return over;
        });
        claims.expire(nowMillis);
    }

    /** Notes that a worker reported. */
    void heard(String workerId, long nowMillis) {
        heardMillis.put(workerId, nowMillis);
    }

    /** Tells whether a worker reported lately; its lease may still run when it did not, but nothing new is sent there. */
    boolean isHeard(Worker worker, long nowMillis) {
        return nowMillis - heardMillis.getOrDefault(worker.id(), beganMillis) <= silentMillis;
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
    Set<Resources> capacities() {
        return capacities.keySet();
    }

    /** Tells whether some worker, lost or not, could hold an amount. */
    boolean hasWorkerFor(Resources amount) {
        return capacities.keySet().stream().anyMatch(amount::fitsIn);
    }

    /** Returns what all live workers offer. */
    Resources capacity() {
        return capacity;
    }

    int slotCount() {
        return slots.size();
    }

    @Nullable
    WorkerSlot slot(Worker worker) {
        return slots.get(worker);
    }

    /** Takes an amount off a worker for the rest of the round. */
    void take(WorkerSlot slot, Resources amount) {
        slot.free = slot.free.minus(amount);
        touched.add(slot.worker);
        offer(slot, slot.isOffered() && !slot.worker.isOnProbation());
    }

    /** Counts a start for the rest of the round. */
    void reserve(JobSpecification job, String profile, Resources size, long milliwatts, WorkerSlot slot) {
        Reservation reservation = new Reservation(job, profile, size, milliwatts, slot.worker);
        placed.reserve(job, profile, size, milliwatts, slot.worker);
        reservations.add(reservation);
        if (!job.serviceTask()) {
            slot.started.add(new Neighbor(job.workClass(), size.millicores() / 1000.0));
        }
    }

    private void rebuild(TaskState state, SiteConfiguration latest, long nowMillis) {
        waiting.clear();
        placed.clear();
        slowed.clear();
        for (Task task : state.tasks()) {
            updateTask(task, latest, nowMillis);
        }
        unchecked.addAll(unrunnable);
        state.workers().forEach(worker -> updateWorker(worker, nowMillis));
    }

    private void updateTask(Task task, SiteConfiguration latest, long nowMillis) {
        placed.update(task, latest);
        waiting.update(task, latest, nowMillis);
        setMember(slowed, task, task.worker() != null && task.requestedSpeedPercent() < Task.FULL_SPEED_PERCENT);
        setMember(unrunnable, task, task.phase() == TaskPhase.UNRUNNABLE);
        setMember(unchecked, task, task.phase().isSchedulable());
        if (!task.phase().isSchedulable()) {
            claims.release(task.job().jobId());
        }
        boolean undisturbed = task.evictions() == 0 && task.workerLosses() == 0;
        if (task.phase() == TaskPhase.DONE && undisturbed && task.epoch() == 1) {
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
        Resources live = worker.isLive() ? worker.capacity() : Resources.NONE;
        Resources before = counted.put(worker, live);
        capacity = capacity.plus(live).minus(before == null ? Resources.NONE : before);
        slot.free = worker.free();
        slot.started.clear();
        if (worker.quarantinedUntilMillis() > nowMillis) {
            quarantined.add(worker);
        }
        offer(slot, isOffered(worker, nowMillis));
        countOffer(worker);
    }

    private void countOffer(Worker worker) {
        Resources before = offers.put(worker, worker.capacity());
        if (worker.capacity().equals(before)) {
            return;
        }
        if (before != null && capacities.merge(before, -1, Integer::sum) == 0) {
            capacities.remove(before);
        }
        if (capacities.merge(worker.capacity(), 1, Integer::sum) == 1) {
            unchecked.addAll(unrunnable);
        }
    }

    private static boolean isOffered(Worker worker, long nowMillis) {
        return worker.isLive()
                && worker.quarantinedUntilMillis() <= nowMillis
                && (!worker.isOnProbation() || worker.tasks().isEmpty());
    }

    /** Offers a worker in the index for its kind, or takes it out; a worker may come back with other accelerators. */
    private void offer(WorkerSlot slot, boolean offered) {
        WorkerIndex index = slot.worker.capacity().accelerators() > 0 ? acceleratedWorkers : plainWorkers;
        if (slot.index != null && slot.index != index) {
            slot.index.place(slot, false);
        }
        slot.index = index;
        index.place(slot, offered);
    }

    /** A start that was decided and is not applied yet. */
    private record Reservation(JobSpecification job, String profile, Resources size, long milliwatts, Worker worker) {
        private void undo(PlacedTasks placed) {
            placed.unreserve(job, profile, size, milliwatts, worker);
        }
    }
}
