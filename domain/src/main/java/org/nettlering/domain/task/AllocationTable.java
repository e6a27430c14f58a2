package org.nettlering.domain.task;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Keeps the sums of what is committed, and which workers and tasks changed.
 *
 * <p>Every change of a commitment goes through here, so that the sums of workers and site always agree with the tasks. Not
 * thread-safe.
 */
final class AllocationTable {
    /** Workers that changed since the last call of drain. */
    private Set<Worker> changedWorkers = new LinkedHashSet<>();

    /** Tasks that changed since the last call of drain. */
    private Set<Task> changedTasks = new LinkedHashSet<>();

    /** The committed draw of all workers and tasks. */
    private long allocatedMilliwatts;

    /** The idle draw of all workers. */
    private long idleMilliwatts;

    /** The largest committed draw so far. */
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

    /** Changes the idle draw of a worker. */
    void setIdlePower(Worker worker, long milliwatts) {
        addPower(milliwatts - worker.idleMilliwatts);
        idleMilliwatts += milliwatts - worker.idleMilliwatts;
        worker.idleMilliwatts = milliwatts;
        markChanged(worker);
    }

    /** Commits a task, whose commitment, draw and speed are set, to a worker. */
    void allocate(Task task, Worker worker) {
        task.worker = worker;
        worker.tasks.put(task.job().jobId(), task);
        worker.allocated = worker.allocated.plus(task.allocation);
        addTaskPower(worker, task.allocatedMilliwatts());
        markChanged(task);
        markChanged(worker);
    }

    /** Ends the commitment of a placed task; the caller then changes its phase. */
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

    /** Changes the size and draw that are committed for a placed task. */
    void resize(Task task, Worker worker, Resources allocation, long powerMilliwatts) {
        long previousMilliwatts = task.allocatedMilliwatts();
        worker.allocated = worker.allocated.minus(task.allocation).plus(allocation);
        task.allocation = allocation;
        task.powerMilliwatts = powerMilliwatts;
        addTaskPower(worker, task.allocatedMilliwatts() - previousMilliwatts);
        markChanged(task);
        markChanged(worker);
    }

    /** Changes the speed that the committed draw of a placed task counts. */
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
