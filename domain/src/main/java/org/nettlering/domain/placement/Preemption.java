package org.nettlering.domain.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.configuration.Interruption;
import org.nettlering.domain.power.PowerGovernor;
import org.nettlering.domain.profile.Profiles;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskPhase;
import org.nettlering.domain.task.Worker;

/**
 * Makes room for jobs that cannot wait: urgent ones by eviction, and long-waiting ones by keeping a worker free.
 *
 * <p>Evicts where the least work is lost, and only tasks of clearly lower urgency whose profile allows it. Not thread-safe.
 */
final class Preemption {
    /** The urgency from which a job may evict others. */
    static final int URGENT = 80;

    /** How much less urgent an evicted task is at the least. */
    private static final int URGENCY_GAP = 20;

    /** How long an evicted task may take to write its checkpoint; the urgent job waits for it. */
    private static final long GRACE_MILLIS = 2_000;

    /** How long a worker is kept for an urgent job. */
    private static final long URGENT_CLAIM_MILLIS = 8_000;

    /** How long a job waits before a worker is kept free for it. */
    private static final long STARVING_MILLIS = 120_000;

    /** How long a worker is kept for a job that waited long. */
    private static final long STARVING_CLAIM_MILLIS = 900_000;

    /** One worker in this many is kept for jobs that waited long, and at least one. */
    private static final int WORKERS_PER_STARVING_CLAIM = 30;

    /** Workers that are looked at for one job. */
    private static final int MAX_LOOKED_AT = 64;

    /** Urgent jobs that evict others in one round. */
    private static final int MAX_IN_ROUND = 32;

    /** Workers that are kept for jobs that waited long, in one round. */
    private static final int MAX_KEPT_IN_ROUND = 2;

    /** What is known of the site. */
    private final Site site;

    /** Jobs that evicted others in this round. */
    private int inRound;

    /** Workers that this round kept for jobs that waited long. */
    private int keptInRound;

    /** Whether this round already made others draw less for an urgent job. */
    private boolean hasMadePower;

    Preemption(Site site) {
        this.site = site;
    }

    void beginRound() {
        inRound = 0;
        hasMadePower = false;
        keptInRound = 0;
    }

    /** Makes room for a job that found none, if it is urgent or waited long. */
    void makeRoom(Task task, Resources size, Round round) {
        String jobId = task.job().jobId();
        if (site.claims.of(jobId).isPresent()) {
            return;
        }
        int urgency = Profiles.urgency(round.configuration, task.job());
        if (urgency >= URGENT && inRound < MAX_IN_ROUND) {
            evictFor(task, size, urgency, round);
            return;
        }
        if (keptInRound == MAX_KEPT_IN_ROUND) {
            return;
        }
        int most = 1 + site.slotCount() / WORKERS_PER_STARVING_CLAIM;
        if (round.nowMillis - task.phaseStartMillis() > STARVING_MILLIS && site.claims.size() < most) {
            keptInRound++;
            keepWorker(jobId, size, round);
        }
    }

    /** Slows down or evicts less urgent tasks for an urgent job that finds no power. */
    void makePower(Task task, long milliwatts, Round round) {
        int urgency = Profiles.urgency(round.configuration, task.job());
        if (urgency < URGENT || hasMadePower) {
            return;
        }
        hasMadePower = true;
        round.commands.addAll(PowerGovernor.lower(
                round.state,
                round.configuration,
                round.capMilliwatts() - milliwatts,
                urgency - URGENCY_GAP + 1,
                "power for urgent job " + task.job().jobId(),
                round.nowMillis));
    }

    private void evictFor(Task urgent, Resources size, int urgency, Round round) {
        List<Task> cheapest = null;
        Worker where = null;
        long lowest = Long.MAX_VALUE;
        int looks = 0;
        for (WorkerSlot slot : site.slots()) {
            if (looks == MAX_LOOKED_AT) {
                break;
            }
            boolean usable = slot.worker.isLive()
                    && site.isHeard(slot.worker, round.nowMillis)
                    && slot.worker.quarantinedUntilMillis() <= round.nowMillis
                    && !slot.worker.isOnProbation()
                    && !site.claims.isClaimed(slot.worker)
                    && !urgent.failedWorkerIds().contains(slot.worker.id())
                    && size.fitsIn(slot.worker.capacity());
            if (!usable) {
                continue;
            }
            looks++;
            List<Task> leaving = leaving(slot, size, urgency, round);
            long cost = leaving == null ? Long.MAX_VALUE : lostMillis(leaving, round);
            if (cost < lowest) {
                lowest = cost;
                cheapest = leaving;
                where = slot.worker;
            }
        }
        if (cheapest == null || where == null) {
            return;
        }
        inRound++;
        site.claims.put(where, urgent.job().jobId(), round.nowMillis + URGENT_CLAIM_MILLIS);
        for (Task task : cheapest) {
            round.commands.add(new TaskCommand.Evict(
                    round.nowMillis,
                    task.job().jobId(),
                    task.epoch(),
                    GRACE_MILLIS,
                    "room for urgent job " + urgent.job().jobId(),
                    "urgency " + urgency + "; work since the last checkpoint " + lowest + " ms"));
        }
    }

    /** Returns the tasks that would have to leave a worker, or null if that does not suffice. */
    private static @Nullable List<Task> leaving(WorkerSlot slot, Resources size, int urgency, Round round) {
        List<Task> movable = new ArrayList<>();
        Resources free = slot.free;
        for (Task task : slot.worker.tasks()) {
            if (task.phase() == TaskPhase.CHECKPOINTING || task.phase() == TaskPhase.CANCELLING) {
                free = free.plus(task.allocation());
                continue;
            }
            boolean lower = Profiles.urgency(round.configuration, task.job()) <= urgency - URGENCY_GAP;
            if (lower && Profiles.interruption(round.configuration, task.job()) == Interruption.EVICT) {
                movable.add(task);
            }
        }
        movable.sort(Comparator.comparingLong((Task task) -> unsavedMillis(task, round.nowMillis))
                .thenComparing(task -> task.job().jobId()));
        List<Task> leaving = new ArrayList<>();
        for (Task task : movable) {
            if (size.fitsIn(free)) {
                break;
            }
            free = free.plus(task.allocation());
            leaving.add(task);
        }
        return size.fitsIn(free) ? leaving : null;
    }

    private void keepWorker(String jobId, Resources size, Round round) {
        Worker roomiest = null;
        long most = -1;
        for (WorkerSlot slot : site.slots()) {
            boolean usable =
                    slot.isOffered() && !site.claims.isClaimed(slot.worker) && size.fitsIn(slot.worker.capacity());
            if (usable && slot.free.millicores() > most) {
                most = slot.free.millicores();
                roomiest = slot.worker;
            }
        }
        if (roomiest != null) {
            site.claims.put(roomiest, jobId, round.nowMillis + STARVING_CLAIM_MILLIS);
        }
    }

    private static long lostMillis(List<Task> leaving, Round round) {
        return leaving.stream()
                .mapToLong(task -> unsavedMillis(task, round.nowMillis))
                .sum();
    }

    private static long unsavedMillis(Task task, long nowMillis) {
        return nowMillis - Math.max(task.startedMillis(), task.checkpointMillis());
    }
}
