package org.nettlering.domain.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.configuration.Interruption;
import org.nettlering.domain.power.PowerGovernor;
import org.nettlering.domain.profile.Profiles;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskPhase;
import org.nettlering.domain.task.Worker;
import org.nettlering.domain.worker.WorkerReport.Usage;

/**
 * Corrects what is committed for running tasks to what is measured.
 *
 * <p>More is committed as soon as a task is seen to use more; where memory does not suffice, the least urgent task of the
 * worker that may be evicted leaves. Less is committed once the class is known and the commitment is far too large. Not
 * thread-safe.
 */
final class Corrections {
    /** Corrections in one round. */
    private static final int MAX_IN_ROUND = 200;

    /** Percent that are added to what was measured. */
    private static final int MARGIN_PERCENT = 10;

    /** How far above the learned size a commitment has to be before it is lowered, in percent. */
    private static final int SHRINK_PERCENT = 130;

    /** How long a task has run before its commitment is lowered. */
    private static final long SHRINK_AFTER_MILLIS = 30_000;

    /** How long a task may take to leave a worker whose memory is used up. */
    private static final long GRACE_MILLIS = 3_000;

    /** What is known of the site. */
    private final Site site;

    /** Tasks whose commitment may be wrong, with the largest use that was measured since the last round. */
    private final Map<Task, Usage> noticed = new LinkedHashMap<>();

    Corrections(Site site) {
        this.site = site;
    }

    /** Takes in what was measured of a running task at full speed. */
    void observe(Task task, Usage usage) {
        Resources commitment = task.allocation();
        boolean small = usage.millicores() > commitment.millicores()
                || usage.memoryMebibytes() > commitment.memoryMebibytes()
                || usage.milliwatts() > task.fullPowerMilliwatts();
        if (small) {
            noticed.put(task, usage);
            return;
        }
        boolean isOld = usage.measuredMillis() - task.startedMillis() > SHRINK_AFTER_MILLIS;
        if (isOld
                && !task.job().serviceTask()
                && site.estimates.hasLearnedResources(task.job().workClass())) {
            Resources learned = site.estimates.resources(task.job());
            if (commitment.millicores() * 100 > learned.millicores() * SHRINK_PERCENT
                    || commitment.memoryMebibytes() * 100 > learned.memoryMebibytes() * SHRINK_PERCENT) {
                noticed.putIfAbsent(task, usage);
            }
        }
    }

    /** Decides on the corrections of this round. */
    void plan(Round round) {
        List<Task> done = new ArrayList<>();
        for (Map.Entry<Task, Usage> entry : noticed.entrySet()) {
            if (done.size() == MAX_IN_ROUND) {
                break;
            }
            done.add(entry.getKey());
            correct(entry.getKey(), entry.getValue(), round);
        }
        done.forEach(noticed::remove);
    }

    private void correct(Task task, Usage usage, Round round) {
        Worker worker = task.worker();
        if (worker == null || task.epoch() != usage.epoch() || task.phase() != TaskPhase.RUNNING) {
            return;
        }
        Resources wanted = wanted(task, usage);
        long milliwatts = Math.max(withMargin(usage.milliwatts()), site.estimates.powerMilliwatts(task.job()));
        if (usage.milliwatts() <= task.fullPowerMilliwatts()) {
            milliwatts = Math.min(task.fullPowerMilliwatts(), milliwatts);
        }
        WorkerSlot slot = site.slot(worker);
        if (slot == null) {
            return;
        }
        long growth = Task.powerAtSpeed(milliwatts, task.allocatedSpeedPercent()) - task.allocatedMilliwatts();
        if (growth > 0 && round.committedMilliwatts + growth > round.capMilliwatts()) {
            makePower(growth, round);
            return;
        }
        Resources more = wanted.minus(task.allocation());
        if (more.fitsIn(slot.free.max(Resources.NONE))) {
            round.commands.add(resize(task, wanted, milliwatts, usage, round));
            round.committedMilliwatts += Math.max(0, growth);
            site.take(slot, more.max(Resources.NONE));
            return;
        }
        if (usage.memoryMebibytes() > task.allocation().memoryMebibytes()) {
            makeRoom(worker, round);
        }
    }

    /** A task draws more than is committed and the cap leaves no room: others, or it, slow down first. */
    private static void makePower(long growth, Round round) {
        if (!round.isPowerLowered) {
            round.isPowerLowered = true;
            round.commands.addAll(PowerGovernor.lower(
                    round.state,
                    round.configuration,
                    round.capMilliwatts() - growth,
                    PowerGovernor.ANY_URGENCY,
                    "a task draws more than was committed",
                    round.nowMillis));
        }
    }

    private Resources wanted(Task task, Usage usage) {
        Resources used = Resources.of(
                withMargin(usage.millicores()),
                withMargin(usage.memoryMebibytes()),
                task.allocation().accelerators());
        Resources learned = site.estimates.resources(task.job());
        boolean grows = usage.millicores() > task.allocation().millicores()
                || usage.memoryMebibytes() > task.allocation().memoryMebibytes();
        if (grows || task.job().serviceTask()) {
            return used.max(task.allocation());
        }
        return learned.max(used).min(task.allocation());
    }

    private static TaskCommand resize(Task task, Resources wanted, long milliwatts, Usage usage, Round round) {
        return new TaskCommand.Resize(
                round.nowMillis,
                task.job().jobId(),
                task.epoch(),
                wanted,
                milliwatts,
                "measured size",
                usage.millicores() + " millicores, " + usage.memoryMebibytes() + " MiB, " + usage.milliwatts() + " mW");
    }

    private static void makeRoom(Worker worker, Round round) {
        Task leaving = leastUrgent(worker, round);
        if (leaving != null) {
            round.commands.add(new TaskCommand.Evict(
                    round.nowMillis,
                    leaving.job().jobId(),
                    leaving.epoch(),
                    GRACE_MILLIS,
                    "memory of the worker is used up",
                    "committed " + worker.allocated()));
        }
    }

    private static @Nullable Task leastUrgent(Worker worker, Round round) {
        Task least = null;
        for (Task task : worker.tasks()) {
            boolean movable = task.phase() == TaskPhase.RUNNING
                    && Profiles.interruption(round.configuration, task.job()) == Interruption.EVICT;
            if (movable && (least == null || isBefore(task, least, round))) {
                least = task;
            }
        }
        return least;
    }

    private static boolean isBefore(Task task, Task other, Round round) {
        int urgency = Profiles.urgency(round.configuration, task.job());
        int otherUrgency = Profiles.urgency(round.configuration, other.job());
        return urgency < otherUrgency || (urgency == otherUrgency && task.startedMillis() > other.startedMillis());
    }

    private static long withMargin(long amount) {
        return Math.ceilDiv(amount * (100 + MARGIN_PERCENT), 100);
    }
}
