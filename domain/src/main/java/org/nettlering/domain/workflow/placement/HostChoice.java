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
import org.nettlering.domain.workflow.sharing.SharingGuard;

/**
 * Chooses the host for one task.
 *
 * <p>Answers loads of three kinds on the same hosts: tasks that serve users are packed onto few hosts, those of one image
 * together, so that whatever fills finds hosts whose services it does not disturb; tasks that only fill go where nobody is
 * served or else where they add least strain, by what was learned of the images; the rest goes beside those that serve, as
 * it disturbs nobody. Hosts in doubt come last, the rack of the data first. Not thread-safe.
 */
final class HostChoice {
    /** Strains, in thousandths, that differ by less than this count as alike. */
    private static final long STRAIN_STEP = 50;

    /** What was learned of the images that share hosts. */
    private final SharingGuard sharing;

    /** The strains of the hosts that were looked at, by the id of the host's life. */
    private final Map<String, HostStrain> strains = new HashMap<>();

    /** How often it was examined whether a host may take a task. */
    private long examined;

    HostChoice(SharingGuard sharing) {
        this.sharing = sharing;
    }

    /** Returns how often it was examined whether a host may take a task. */
    long examined() {
        return examined;
    }

    /** Returns the best host with room, or empty if there is none. */
    Optional<HostRoom> choose(StepId name, StepSpecification step, String rack, Collection<HostRoom> rooms) {
        HostRoom best = null;
        for (HostRoom room : rooms) {
            if (isAllowed(name, step, room) && (best == null || compare(step, rack, room, best) < 0)) {
                best = room;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Tells whether a host has room for one more task and would bear it. */
    boolean isAllowed(StepId name, StepSpecification step, HostRoom room) {
        examined++;
        return room.fits(name, step)
                && (!step.has(StepTrait.BEST_EFFORT) || effect(step, room).bearable());
    }

    /** Returns what one more task that fills would do on a host. */
    HostStrain.Effect effect(StepSpecification step, HostRoom room) {
        return strainOf(room).effectOf(step);
    }

    private HostStrain strainOf(HostRoom room) {
        return strains.computeIfAbsent(room.host().id(), id -> new HostStrain(sharing, room));
    }

    /** Takes the room of one more task; what it adds to the strain counts for the next ones of this plan. */
    void take(StepId name, StepSpecification step, HostRoom room) {
        if (step.has(StepTrait.BEST_EFFORT)) {
            strainOf(room).add(step);
        }
        room.take(name, step);
    }

    /** Compares two hosts that have room; the better one is the smaller one. */
    int compare(StepSpecification step, String rack, HostRoom left, HostRoom right) {
        int doubt = Integer.compare(left.doubt(), right.doubt());
        if (doubt != 0) {
            return doubt;
        }
        int near = Boolean.compare(isFar(rack, left), isFar(rack, right));
        if (near != 0) {
            return near;
        }
        if (step.has(StepTrait.BEST_EFFORT)) {
            return compareForFilling(step, left, right);
        }
        int company = step.isLatencyCritical()
                ? Integer.compare(unlike(step, left), unlike(step, right))
                : Boolean.compare(right.hasServing(), left.hasServing());
        if (company != 0) {
            return company;
        }
        return Long.compare(left.idleMillicores(), right.idleMillicores());
    }

    /** Returns how unlike a step that serves is what serves on a host already: alone with its image is best. */
    private static int unlike(StepSpecification step, HostRoom room) {
        boolean alike = room.servingImages().contains(step.serviceLevel().image());
        int others = room.servingImages().size() - (alike ? 1 : 0);
        return alike ? 2 * others : 2 * others + 1;
    }

    private int compareForFilling(StepSpecification step, HostRoom left, HostRoom right) {
        HostStrain.Effect leftEffect = effect(step, left);
        HostStrain.Effect rightEffect = effect(step, right);
        int added = Long.compare(leftEffect.added() / STRAIN_STEP, rightEffect.added() / STRAIN_STEP);
        if (added != 0) {
            return added;
        }
        int resulting = Long.compare(leftEffect.resulting() / STRAIN_STEP, rightEffect.resulting() / STRAIN_STEP);
        if (resulting != 0) {
            return resulting;
        }
        int quiet = Boolean.compare(left.hasServing(), right.hasServing());
        return quiet != 0 ? quiet : Long.compare(right.idleMillicores(), left.idleMillicores());
    }

    private static boolean isFar(String rack, HostRoom room) {
        return !rack.isEmpty() && !rack.equals(room.rack());
    }

    /** Returns the rack with the most idle processors of those on which a number of tasks fit, or null if there is none. */
    @Nullable
    String rackFor(StepId name, StepSpecification step, int tasks, Collection<HostRoom> rooms) {
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
}
