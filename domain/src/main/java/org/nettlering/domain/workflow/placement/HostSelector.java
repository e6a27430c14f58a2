package org.nettlering.domain.workflow.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.workflow.StepId;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.colocation.ColocationController;

/**
 * Selects the host for one task.
 *
 * <p>Hosts with fewer consecutive run failures are preferred, then hosts in the rack of the data. The further order
 * depends on the kind of task:
 *
 * <ul>
 *   <li>Latency-critical tasks are packed onto few hosts, tasks of the same image together, so that hosts remain whose
 *       services best-effort tasks do not disturb.
 *   <li>Best-effort tasks go to hosts without latency-critical runs, or else to hosts where they add the least latency
 *       pressure according to the learned interference between images.
 *   <li>Other tasks are placed beside latency-critical runs, as they do not disturb them.
 * </ul>
 *
 * <p>Not thread-safe.
 */
final class HostSelector {
    /** Width of the buckets in which latency pressures are compared. */
    private static final long PRESSURE_BUCKET_THOUSANDTHS = 50;

    private final ColocationController colocation;

    /** The latency pressure of each host evaluated so far, by incarnation id. */
    private final Map<String, HostLatencyPressure> pressures = new HashMap<>();

    private long feasibilityChecks;

    HostSelector(ColocationController colocation) {
        this.colocation = colocation;
    }

    /** Returns how many times {@link #isFeasible} was evaluated. */
    long feasibilityChecks() {
        return feasibilityChecks;
    }

    /** Returns the best feasible host, or empty if there is none. */
    Optional<FreeCapacity> select(
            StepId stepId, StepSpecification step, String rack, Collection<FreeCapacity> candidates) {
        FreeCapacity best = null;
        for (FreeCapacity candidate : candidates) {
            if (isFeasible(stepId, step, candidate) && (best == null || compare(step, rack, candidate, best) < 0)) {
                best = candidate;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns whether one more task fits on a host and keeps its latency pressure acceptable. */
    boolean isFeasible(StepId stepId, StepSpecification step, FreeCapacity candidate) {
        feasibilityChecks++;
        return candidate.fits(stepId, step)
                && (!step.has(StepTrait.BEST_EFFORT)
                        || impactOf(step, candidate).acceptable());
    }

    /** Returns the impact of one more best-effort task on a host. */
    HostLatencyPressure.Impact impactOf(StepSpecification step, FreeCapacity candidate) {
        return pressureOf(candidate).impactOf(step);
    }

    private HostLatencyPressure pressureOf(FreeCapacity candidate) {
        return pressures.computeIfAbsent(candidate.host().id(), id -> new HostLatencyPressure(colocation, candidate));
    }

    /** Allocates capacity for one more task; the pressure that it adds counts for later tasks of the same plan. */
    void allocate(StepId stepId, StepSpecification step, FreeCapacity candidate) {
        if (step.has(StepTrait.BEST_EFFORT)) {
            pressureOf(candidate).add(step);
        }
        candidate.allocate(stepId, step);
    }

    /** Compares two feasible hosts; the better one is the smaller one. */
    int compare(StepSpecification step, String rack, FreeCapacity left, FreeCapacity right) {
        int failureOrder = Integer.compare(left.consecutiveFailures(), right.consecutiveFailures());
        if (failureOrder != 0) {
            return failureOrder;
        }
        int rackOrder = Boolean.compare(isOutsideRack(rack, left), isOutsideRack(rack, right));
        if (rackOrder != 0) {
            return rackOrder;
        }
        if (step.has(StepTrait.BEST_EFFORT)) {
            return compareForBestEffort(step, left, right);
        }
        int colocationOrder = step.isLatencyCritical()
                ? Integer.compare(imageMixPenalty(step, left), imageMixPenalty(step, right))
                : Boolean.compare(right.hasLatencyCritical(), left.hasLatencyCritical());
        if (colocationOrder != 0) {
            return colocationOrder;
        }
        return Long.compare(left.idleMillicores(), right.idleMillicores());
    }

    /** Returns 0 if the step's image is the only latency-critical one on the host, 1 if there is none, else more. */
    private static int imageMixPenalty(StepSpecification step, FreeCapacity candidate) {
        boolean sameImage =
                candidate.latencyCriticalImages().contains(step.serviceLevel().image());
        int otherImages = candidate.latencyCriticalImages().size() - (sameImage ? 1 : 0);
        return sameImage ? 2 * otherImages : 2 * otherImages + 1;
    }

    private int compareForBestEffort(StepSpecification step, FreeCapacity left, FreeCapacity right) {
        HostLatencyPressure.Impact leftImpact = impactOf(step, left);
        HostLatencyPressure.Impact rightImpact = impactOf(step, right);
        int addedOrder = Long.compare(
                leftImpact.added() / PRESSURE_BUCKET_THOUSANDTHS, rightImpact.added() / PRESSURE_BUCKET_THOUSANDTHS);
        if (addedOrder != 0) {
            return addedOrder;
        }
        int resultingOrder = Long.compare(
                leftImpact.resulting() / PRESSURE_BUCKET_THOUSANDTHS,
                rightImpact.resulting() / PRESSURE_BUCKET_THOUSANDTHS);
        if (resultingOrder != 0) {
            return resultingOrder;
        }
        int occupancyOrder = Boolean.compare(left.hasLatencyCritical(), right.hasLatencyCritical());
        return occupancyOrder != 0 ? occupancyOrder : Long.compare(right.idleMillicores(), left.idleMillicores());
    }

    private static boolean isOutsideRack(String rack, FreeCapacity candidate) {
        return !rack.isEmpty() && !rack.equals(candidate.rack());
    }

    /** Returns the rack with the most idle processors among those that fit all tasks, or null if there is none. */
    @Nullable
    String rackFor(StepId stepId, StepSpecification step, int taskCount, Collection<FreeCapacity> candidates) {
        Map<String, Integer> slots = new HashMap<>();
        Map<String, Long> idleMillicores = new HashMap<>();
        for (FreeCapacity candidate : candidates) {
            int allocated = 0;
            while (allocated < taskCount && isFeasible(stepId, step, candidate)) {
                candidate.allocate(stepId, step);
                allocated++;
            }
            for (int released = 0; released < allocated; released++) {
                candidate.release(stepId, step);
            }
            slots.merge(candidate.rack(), allocated, Integer::sum);
            idleMillicores.merge(candidate.rack(), candidate.idleMillicores(), Long::sum);
        }
        return slots.entrySet().stream()
                .filter(entry -> entry.getValue() >= taskCount)
                .map(Map.Entry::getKey)
                .max(Comparator.comparingLong(idleMillicores::get))
                .orElse(null);
    }
}
