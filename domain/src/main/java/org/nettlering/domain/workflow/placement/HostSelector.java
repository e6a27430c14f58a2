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
 * Chooses the host for one task.
 *
 * <p>Answers loads of three kinds on the same hosts: tasks that serve users are packed onto few hosts, those of one image
 * together, so that whatever fills finds hosts whose services it does not disturb; tasks that only fill go where nobody is
 * served or else where they add least strain, by what was learned of the images; the rest goes beside those that serve, as
 * it disturbs nobody. Hosts in doubt come last, the rack of the data first. Not thread-safe.
 */
final class HostSelector {
    /** Strains, in thousandths, that differ by less than this count as alike. */
    private static final long PRESSURE_BUCKET_THOUSANDTHS = 50;

    /** What was learned of the images that share hosts. */
    private final ColocationController colocation;

    /** The strains of the hosts that were looked at, by the id of the host's life. */
    private final Map<String, HostLatencyPressure> pressures = new HashMap<>();

    /** How often it was examined whether a host may take a task. */
    private long feasibilityChecks;

    HostSelector(ColocationController colocation) {
        this.colocation = colocation;
    }

    /** Returns how often it was examined whether a host may take a task. */
    long feasibilityChecks() {
        return feasibilityChecks;
    }

    /** Returns the best host with room, or empty if there is none. */
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

    /** Tells whether a host has room for one more task and would bear it. */
    boolean isFeasible(StepId stepId, StepSpecification step, FreeCapacity candidate) {
        feasibilityChecks++;
        return candidate.fits(stepId, step)
                && (!step.has(StepTrait.BEST_EFFORT)
                        || impactOf(step, candidate).acceptable());
    }

    /** Returns what one more task that fills would do on a host. */
    HostLatencyPressure.Impact impactOf(StepSpecification step, FreeCapacity candidate) {
        return pressureOf(candidate).impactOf(step);
    }

    private HostLatencyPressure pressureOf(FreeCapacity candidate) {
        return pressures.computeIfAbsent(candidate.host().id(), id -> new HostLatencyPressure(colocation, candidate));
    }

    /** Takes the room of one more task; what it adds to the strain counts for the next ones of this plan. */
    void allocate(StepId stepId, StepSpecification step, FreeCapacity candidate) {
        if (step.has(StepTrait.BEST_EFFORT)) {
            pressureOf(candidate).add(step);
        }
        candidate.allocate(stepId, step);
    }

    /** Compares two hosts that have room; the better one is the smaller one. */
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

    /** Returns how unlike a step that serves is what serves on a host already: alone with its image is best. */
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

    /** Returns the rack with the most idle processors of those on which a number of tasks fit, or null if there is none. */
    @Nullable
    String rackFor(StepId stepId, StepSpecification step, int tasks, Collection<FreeCapacity> candidates) {
        Map<String, Integer> slots = new HashMap<>();
        Map<String, Long> idleMillicores = new HashMap<>();
        for (FreeCapacity candidate : candidates) {
            int allocated = 0;
            while (allocated < tasks && isFeasible(stepId, step, candidate)) {
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
                .filter(entry -> entry.getValue() >= tasks)
                .map(Map.Entry::getKey)
                .max(Comparator.comparingLong(idleMillicores::get))
                .orElse(null);
    }
}
