package org.nettlering.domain.task;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Keeps the sums of what is committed, and which workers and tasks changed.
 *
 * <p>Every change of a commitment goes through here, so that the sums of workers and site always agree with the tasks. Not
 * thread-safe.
 */
final class CommitmentBook {
    /** Workers that changed since the last call of drain. */
    private Set<Worker> changedWorkers = new LinkedHashSet<>();

    /** Tasks that changed since the last call of drain. */
    private Set<Task> changedTasks = new LinkedHashSet<>();

    /** The committed draw of all workers and tasks. */
    private long committedMilliwatts;

    /** The idle draw of all workers. */
    private long idleMilliwatts;

    /** The largest committed draw so far. */
    private long peakMilliwatts;

    long committedMilliwatts() {
        return committedMilliwatts;
    }

    long idleMilliwatts() {
        return idleMilliwatts;
    }

    long peakMilliwatts() {
        return peakMilliwatts;
    }

    void restorePeak(long milliwatts) {
        peakMilliwatts = Math.max(milliwatts, committedMilliwatts);
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

    void touch(Task task) {
        changedTasks.add(task);
    }

    void touch(Worker worker) {
        changedWorkers.add(worker);
    }

    /** Changes the idle draw of a worker. */
    void setIdle(Worker worker, long milliwatts) {
        addPower(milliwatts - worker.idleMilliwatts);
        idleMilliwatts += milliwatts - worker.idleMilliwatts;
        worker.idleMilliwatts = milliwatts;
        touch(worker);
    }

    /** Commits a task, whose commitment, draw and speed are set, to a worker. */
    void commit(Task task, Worker worker) {
        task.worker = worker;
        worker.tasks.put(task.job().jobId(), task);
        worker.committed = worker.committed.plus(task.commitment);
        addTaskPower(worker, task.committedMilliwatts());
        touch(task);
        touch(worker);
    }

    /** Ends the commitment of a placed task; the caller then changes its phase. */
    void release(Task task, Worker worker) {
        addTaskPower(worker, -task.committedMilliwatts());
        worker.committed = worker.committed.minus(task.commitment);
        worker.tasks.remove(task.job().jobId());
        task.worker = null;
        task.commitment = Resources.NONE;
        task.committedPercent = Task.FULL_SPEED_PERCENT;
        task.throttlePercent = Task.FULL_SPEED_PERCENT;
        touch(task);
        touch(worker);
    }

    /** Changes the size and draw that are committed for a placed task. */
    void resize(Task task, Worker worker, Resources commitment, long powerMilliwatts) {
        long before = task.committedMilliwatts();
        worker.committed = worker.committed.minus(task.commitment).plus(commitment);
        task.commitment = commitment;
        task.powerMilliwatts = powerMilliwatts;
        addTaskPower(worker, task.committedMilliwatts() - before);
        touch(task);
        touch(worker);
    }

    /** Changes the speed that the committed draw of a placed task counts. */
    void setCommittedPercent(Task task, Worker worker, int percent) {
        long before = task.committedMilliwatts();
        task.committedPercent = percent;
        addTaskPower(worker, task.committedMilliwatts() - before);
        touch(task);
        touch(worker);
    }

    private void addTaskPower(Worker worker, long milliwatts) {
        worker.taskMilliwatts += milliwatts;
        addPower(milliwatts);
    }

    private void addPower(long milliwatts) {
        committedMilliwatts += milliwatts;
        peakMilliwatts = Math.max(peakMilliwatts, committedMilliwatts);
    }
}
