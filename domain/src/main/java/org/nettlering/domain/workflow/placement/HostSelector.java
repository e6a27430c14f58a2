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

    /** The costs of best-effort tasks in this plan. */
    private final PressureCosts costs;

    private long feasibilityChecks;

    HostSelector(ColocationController colocation) {
        costs = new PressureCosts(colocation);
    }

    /** Returns how many times {@link #isFeasible} was evaluated. */
    long feasibilityChecks() {
        return feasibilityChecks;
    }

    /** Returns the best feasible host, or empty if there is none. */
    Optional<FreeCapacity> select(
            StepId stepId, StepSpecification step, String rack, Collection<FreeCapacity> candidates) {
        return candidates.stream()
                .filter(candidate -> isFeasible(stepId, step, candidate))
                .min(Comparator.comparing(candidate -> score(step, rack, candidate)));
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
        return candidate.latencyPressure(costs).impactOf(step, costs.of(step));
    }

    /** Allocates capacity for one more task; the pressure that it adds counts for later tasks of the same plan. */
    void allocate(StepId stepId, StepSpecification step, FreeCapacity candidate) {
        addPressure(step, candidate);
        candidate.allocate(stepId, step);
    }

    /** Like {@link #allocate}, for a task that may crash its host. */
    void allocateSuspect(StepId stepId, StepSpecification step, FreeCapacity candidate) {
        addPressure(step, candidate);
        candidate.allocateSuspect(stepId, step);
    }

    private void addPressure(StepSpecification step, FreeCapacity candidate) {
        if (step.has(StepTrait.BEST_EFFORT)) {
            candidate.latencyPressure(costs).add(step, costs.of(step));
        }
    }

    /** Returns how well a feasible host suits one more task. */
    HostScore score(StepSpecification step, String rack, FreeCapacity candidate) {
        int failures = candidate.consecutiveFailures();
        int cold = candidate.isCold() ? 1 : 0;
        int outsideRack = isOutsideRack(rack, candidate) ? 1 : 0;
        if (step.has(StepTrait.BEST_EFFORT)) {
            HostLatencyPressure.Impact impact = impactOf(step, candidate);
            return new HostScore(
                    failures,
                    cold,
                    outsideRack,
                    impact.added() / PRESSURE_BUCKET_THOUSANDTHS,
                    impact.resulting() / PRESSURE_BUCKET_THOUSANDTHS,
                    candidate.hasLatencyCritical() ? 1 : 0,
                    -candidate.idleMillicores());
        }
        int penalty =
                step.isLatencyCritical() ? imageMixPenalty(step, candidate) : candidate.hasLatencyCritical() ? 0 : 1;
        return new HostScore(failures, cold, outsideRack, 0, 0, penalty, candidate.idleMillicores());
    }

    /** Returns 0 if the step's image is the only latency-critical one on the host, 1 if there is none, else more. */
    private static int imageMixPenalty(StepSpecification step, FreeCapacity candidate) {
        boolean sameImage =
                candidate.latencyCriticalImages().contains(step.serviceLevel().image());
        int otherImages = candidate.latencyCriticalImages().size() - (sameImage ? 1 : 0);
        return sameImage ? 2 * otherImages : 2 * otherImages + 1;
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
