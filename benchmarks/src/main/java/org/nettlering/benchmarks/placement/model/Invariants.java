package org.nettlering.benchmarks.placement.model;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskPhase;
import org.nettlering.domain.task.TaskState;
import org.nettlering.domain.task.Worker;

/** Checks what must always hold, in the replicated state and in what the workers really do. Not thread-safe. */
final class Invariants {
    /** The epoch that was last seen running, by job. */
    private final Map<String, Long> lastEpoch = new HashMap<>();

    /** The checkpoint that the state recorded last, by job. */
    private final Map<String, Long> lastCheckpoint = new HashMap<>();

    /** Jobs that ended, and how. */
    private final Map<String, TaskPhase> ended = new HashMap<>();

    /** Checks the replicated state. */
    void checkState(TaskState state, long nowMillis) {
        long milliwatts = 0;
        Set<String> placed = new HashSet<>();
        for (Worker worker : state.workers()) {
            Resources sum = Resources.NONE;
            long draw = worker.idleMilliwatts();
            for (Task task : worker.tasks()) {
                sum = sum.plus(task.allocation());
                draw += task.allocatedMilliwatts();
                require(
                        placed.add(task.job().jobId()),
                        nowMillis,
                        "committed twice: " + task.job().jobId());
                require(
                        task.worker() == worker,
                        nowMillis,
                        "committed elsewhere: " + task.job().jobId());
            }
            require(sum.equals(worker.allocated()), nowMillis, "sum of commitments on " + worker.id());
            require(sum.fitsIn(worker.capacity()), nowMillis, "committed beyond " + worker.id() + ": " + sum);
            require(draw == worker.allocatedMilliwatts(), nowMillis, "sum of draws on " + worker.id());
            milliwatts += draw;
        }
        require(milliwatts == state.allocatedMilliwatts(), nowMillis, "sum of draws");
        for (Task task : state.tasks()) {
            checkTask(task, placed, nowMillis);
        }
    }

    private void checkTask(Task task, Set<String> placed, long nowMillis) {
        String jobId = task.job().jobId();
        require(task.phase().isPlaced() == placed.contains(jobId), nowMillis, "phase of " + jobId);
        long checkpoint = lastCheckpoint.getOrDefault(jobId, 0L);
        require(task.checkpoint() >= checkpoint, nowMillis, "checkpoint of " + jobId + " went back");
        lastCheckpoint.put(jobId, task.checkpoint());
        TaskPhase before = ended.get(jobId);
        require(before == null || before == task.phase(), nowMillis, jobId + " ended as " + before + " and changed");
        if (task.phase().isTerminal()) {
            ended.put(jobId, task.phase());
        }
    }

    /** Checks what really runs against what is committed. */
    void checkWorkers(List<ModelWorker> workers, TaskState state, long nowMillis) {
        Map<String, String> where = new HashMap<>();
        for (ModelWorker worker : workers) {
            for (ModelTask task : worker.running()) {
                String jobId = task.job.jobId();
                String other = where.put(jobId, worker.id);
                require(other == null, nowMillis, jobId + " runs on " + other + " and " + worker.id);
                Task recorded = state.task(jobId).orElse(null);
                require(
                        recorded != null && recorded.workerId().equals(worker.id) && recorded.epoch() == task.epoch,
                        nowMillis,
                        jobId + " runs on " + worker.id + " in epoch " + task.epoch + " without a commitment");
                checkEpoch(task, nowMillis);
            }
        }
    }

    private void checkEpoch(ModelTask task, long nowMillis) {
        String jobId = task.job.jobId();
        long before = lastEpoch.getOrDefault(jobId, 0L);
        require(task.epoch >= before, nowMillis, jobId + " runs in epoch " + task.epoch + " after " + before);
        lastEpoch.put(jobId, task.epoch);
    }

    /** Checks a start or speed change against the cap: nothing may lift the draw above it. */
    static void checkCap(long beforeMilliwatts, long afterMilliwatts, long capMilliwatts, long nowMillis) {
        require(
                afterMilliwatts <= capMilliwatts || afterMilliwatts <= beforeMilliwatts,
                nowMillis,
                "draw of " + afterMilliwatts + " mW above the cap of " + capMilliwatts + " mW");
    }

    private static void require(boolean holds, long nowMillis, String message) {
        if (!holds) {
            throw new IllegalStateException("at " + nowMillis + " ms: " + message);
        }
    }
}
