package org.nettlering.domain.task;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Maintains the allocation totals and the sets of changed workers and tasks.
 *
 * <p>All changes to allocations go through this class, which keeps the totals per worker and for the whole cluster
 * consistent with the tasks. Not thread-safe.
 */
final class AllocationTable {
    /** Workers that changed since the last call of {@link #drainChangedWorkers()}. */
    private Set<Worker> changedWorkers = new LinkedHashSet<>();

    /** Tasks that changed since the last call of {@link #drainChangedTasks()}. */
    private Set<Task> changedTasks = new LinkedHashSet<>();

    /** The idle power of all workers and the allocated power of all placed tasks. */
    private long allocatedMilliwatts;

    private long idleMilliwatts;

    /** The highest value that {@code allocatedMilliwatts} has had. */
    private long peakMilliwatts;

    long allocatedMilliwatts() {
        return allocatedMilliwatts;
    }

    long idleMilliwatts() {
        return idleMilliwatts;
    }

    long peakMilliwatts() {
        return peakMilliwatts;
    }

    void restorePeak(long milliwatts) {
        peakMilliwatts = Math.max(milliwatts, allocatedMilliwatts);
    }

    Set<Worker> drainChangedWorkers() {
        Set<Worker> drained = changedWorkers;
        changedWorkers = new LinkedHashSet<>();
        return drained;
    }

    Set<Task> drainChangedTasks() {
        Set<Task> drained = changedTasks;
        changedTasks = new LinkedHashSet<>();
        return drained;
    }

    void markChanged(Task task) {
        changedTasks.add(task);
    }

    void markChanged(Worker worker) {
        changedWorkers.add(worker);
    }

    void setIdlePower(Worker worker, long milliwatts) {
        addPower(milliwatts - worker.idleMilliwatts);
        idleMilliwatts += milliwatts - worker.idleMilliwatts;
        worker.idleMilliwatts = milliwatts;
        markChanged(worker);
    }

    /** Places a task on a worker; the allocation, power and speed of the task must be set already. */
    void allocate(Task task, Worker worker) {
        task.worker = worker;
        worker.tasks.put(task.job().jobId(), task);
        worker.allocated = worker.allocated.plus(task.allocation);
        addTaskPower(worker, task.allocatedMilliwatts());
        markChanged(task);
        markChanged(worker);
    }

    /** Releases the allocation of a placed task; the caller must then change the phase of the task. */
    void release(Task task, Worker worker) {
        addTaskPower(worker, -task.allocatedMilliwatts());
        worker.allocated = worker.allocated.minus(task.allocation);
        worker.tasks.remove(task.job().jobId());
        task.worker = null;
        task.allocation = Resources.NONE;
        task.allocatedSpeedPercent = Task.FULL_SPEED_PERCENT;
        task.requestedSpeedPercent = Task.FULL_SPEED_PERCENT;
        markChanged(task);
        markChanged(worker);
    }

    /** Changes the resources and the power allocated to a placed task. */
    void resize(Task task, Worker worker, Resources allocation, long powerMilliwatts) {
        long previousMilliwatts = task.allocatedMilliwatts();
        worker.allocated = worker.allocated.minus(task.allocation).plus(allocation);
        task.allocation = allocation;
        task.powerMilliwatts = powerMilliwatts;
        addTaskPower(worker, task.allocatedMilliwatts() - previousMilliwatts);
        markChanged(task);
        markChanged(worker);
    }

    /** Changes the speed for which power is allocated to a placed task. */
    void setAllocatedSpeedPercent(Task task, Worker worker, int speedPercent) {
        long previousMilliwatts = task.allocatedMilliwatts();
        task.allocatedSpeedPercent = speedPercent;
        addTaskPower(worker, task.allocatedMilliwatts() - previousMilliwatts);
        markChanged(task);
        markChanged(worker);
    }

    private void addTaskPower(Worker worker, long milliwatts) {
        worker.taskMilliwatts += milliwatts;
        addPower(milliwatts);
    }

    private void addPower(long milliwatts) {
        allocatedMilliwatts += milliwatts;
        peakMilliwatts = Math.max(peakMilliwatts, allocatedMilliwatts);
    }
}
