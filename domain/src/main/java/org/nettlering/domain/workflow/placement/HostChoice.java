package org.nettlering.domain.workflow.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.workflow.StepName;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.sharing.ServingRun;
import org.nettlering.domain.workflow.sharing.SharingGuard;

/**
 * Chooses the host for one task.
 *
 * <p>Answers loads of three kinds on the same hosts: tasks that serve users are packed onto few hosts; tasks that only fill
 * go where nobody is served or else where the targets bear them best, by what was learned of the images; the rest goes
 * beside those that serve, as it disturbs nobody. Hosts in doubt come last, the rack of the data first. Not thread-safe.
 */
final class HostChoice {
    /** The strain, in thousandths, that a run that serves is taken to be under until it was measured. */
    private static final long UNMEASURED_STRAIN = 500;

    /** Strains, in thousandths, that differ by less than this count as alike. */
    private static final long STRAIN_STEP = 100;

    /** What was learned of the images that share hosts. */
    private final SharingGuard sharing;

    /** The strains that were predicted for this plan, by host, image and processors. */
    private final Map<StrainKey, Long> strains = new HashMap<>();

    HostChoice(SharingGuard sharing) {
        this.sharing = sharing;
    }

    /** Returns the best host with room, or empty if there is none. */
    Optional<HostRoom> choose(StepName name, StepSpecification step, String rack, Collection<HostRoom> rooms) {
        HostRoom best = null;
        for (HostRoom room : rooms) {
            if (isAllowed(name, step, room) && (best == null || compare(step, rack, room, best) < 0)) {
                best = room;
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean isAllowed(StepName name, StepSpecification step, HostRoom room) {
        return room.fits(name, step) && (!step.has(StepTrait.FILLS) || SharingGuard.isBearable(strain(step, room)));
    }

    /** Returns the largest strain, in thousandths, of a run on the host with one more that fills. */
    private long strain(StepSpecification step, HostRoom room) {
        StrainKey key = new StrainKey(
                room.host().id(), step.sharing().image(), step.demand().millicores());
        return strains.computeIfAbsent(key, missing -> predictStrain(step, room)) + room.plannedStrain();
    }

    /** Takes the room of one more task; what it adds to the strain counts for the next ones of this plan. */
    void take(StepName name, StepSpecification step, HostRoom room) {
        if (step.has(StepTrait.FILLS)) {
            room.addStrain(predictStrain(step, room) - currentStrain(room));
        }
        room.take(name, step);
    }

    private long currentStrain(HostRoom room) {
        long largest = room.hasUnmeasuredServing() ? UNMEASURED_STRAIN : 0;
        for (ServingRun serving : room.servingRuns()) {
            largest = Math.max(largest, sharing.strain(serving));
        }
        return largest;
    }

    private long predictStrain(StepSpecification step, HostRoom room) {
        long largest = room.hasUnmeasuredServing() ? UNMEASURED_STRAIN : 0;
        for (ServingRun serving : room.servingRuns()) {
            long predicted = sharing.predictedStrain(
                    serving, step.sharing().image(), step.demand().millicores());
            largest = Math.max(largest, predicted);
        }
        return largest;
    }

    /** Compares two hosts that have room; the better one is the smaller one. */
    private int compare(StepSpecification step, String rack, HostRoom left, HostRoom right) {
        int doubt = Integer.compare(left.doubt(), right.doubt());
        if (doubt != 0) {
            return doubt;
        }
        int near = Boolean.compare(isFar(rack, left), isFar(rack, right));
        if (near != 0) {
            return near;
        }
        if (step.has(StepTrait.FILLS)) {
            return compareForFilling(step, left, right);
        }
        int quiet = step.serves()
                ? Boolean.compare(left.hasFilling(), right.hasFilling())
                : Boolean.compare(right.hasServing(), left.hasServing());
        if (quiet != 0) {
            return quiet;
        }
        return Long.compare(left.idleMillicores(), right.idleMillicores());
    }

    private int compareForFilling(StepSpecification step, HostRoom left, HostRoom right) {
        int strain = Long.compare(strain(step, left) / STRAIN_STEP, strain(step, right) / STRAIN_STEP);
        if (strain != 0) {
            return strain;
        }
        int quiet = Boolean.compare(left.hasServing(), right.hasServing());
        return quiet != 0 ? quiet : Long.compare(right.idleMillicores(), left.idleMillicores());
    }

    private static boolean isFar(String rack, HostRoom room) {
        return !rack.isEmpty() && !rack.equals(room.rack());
    }

    /** Returns the rack with the most idle processors of those on which a number of tasks fit, or null if there is none. */
    @Nullable
    String rackFor(StepName name, StepSpecification step, int tasks, Collection<HostRoom> rooms) {
        Map<String, Integer> places = new HashMap<>();
        Map<String, Long> idle = new HashMap<>();
        for (HostRoom room : rooms) {
            int taken = 0;
            while (taken < tasks && isAllowed(name, step, room)) {
                room.take(name, step);
                taken++;
            }
            for (int back = 0; back < taken; back++) {
                room.giveBack(name, step);
            }
            places.merge(room.rack(), taken, Integer::sum);
            idle.merge(room.rack(), room.idleMillicores(), Long::sum);
        }
        return places.entrySet().stream()
                .filter(entry -> entry.getValue() >= tasks)
                .map(Map.Entry::getKey)
                .max(Comparator.comparingLong(idle::get))
                .orElse(null);
    }

    /** What a predicted strain depends on within one plan. */
    private record StrainKey(String hostId, String image, long millicores) {}
}
