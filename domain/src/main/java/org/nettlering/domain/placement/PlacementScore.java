package org.nettlering.domain.placement;

import java.util.OptionalDouble;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.interference.PairwiseInterferenceModel.Neighbor;
import org.nettlering.domain.profile.Profiles;
import org.nettlering.domain.task.JobSpecification;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.Worker;

/**
 * Computes the cost of placing a job on a worker; the worker with the lowest cost is preferred.
 *
 * <p>The cost is in thousandths of slowdown and adds up:
 * <ul>
 *   <li>for a batch job, the slowdown that it adds to the services on the worker;
 *   <li>for a service, the slowdown by the batch tasks on the worker;
 *   <li>the processors left unused, and the imbalance between unused processors and unused memory;
 *   <li>for a service, its instances on the same worker, in the same rack and in the same failure domain.
 * </ul>
 *
 * <p>Not thread-safe.
 */
final class PlacementScore {
    /** The excess slowdown up to which a placement may slow down a more urgent service, in thousandths. */
    static final double MAX_EXCESS_SLOWDOWN_THOUSANDTHS = 120;

    /** Cost if all processors of the worker stay unused. */
    private static final double UNUSED_CAPACITY_COST = 20;

    /** Cost of the largest imbalance between unused processors and unused memory. */
    private static final double IMBALANCE_COST = 20;

    /** Cost of each other instance of the service on the same worker. */
    private static final double SAME_WORKER_COST = 200;

    /** Cost of each other instance of the service in the same rack. */
    private static final double SAME_RACK_COST = 60;

    /** Cost of each other instance of the service in the same failure domain. */
    private static final double SAME_DOMAIN_COST = 15;

    private final PlannerState plannerState;

    PlacementScore(PlannerState plannerState) {
        this.plannerState = plannerState;
    }

    /** Returns the cost, or empty if the job would slow down a more urgent service too much. */
    OptionalDouble costOf(WorkerSlot slot, JobSpecification job, Resources request, SiteConfiguration configuration) {
        Worker worker = slot.worker;
        double cost = unusedCapacityCost(slot, request);
        if (job.serviceTask()) {
            cost += SAME_WORKER_COST * plannerState.placedTasks.instances(job, worker.id())
                    + SAME_RACK_COST * plannerState.placedTasks.instances(job, PlacedTasks.rackOf(worker))
                    + SAME_DOMAIN_COST * plannerState.placedTasks.instances(job, PlacedTasks.domainOf(worker));
            return OptionalDouble.of(cost + excessSlowdown(job, slot));
        }
        if (plannerState.interferenceController.isServiceSlowed(worker.id())
                && hasMoreUrgentService(worker, job, configuration)) {
            return OptionalDouble.empty();
        }
        Neighbor neighbor = new Neighbor(job.workClass(), request.millicores() / 1000.0);
        for (Task service : worker.tasks()) {
            if (!service.job().serviceTask()) {
                continue;
            }
            double addedSlowdown =
                    plannerState.interferenceModel.predict(service.job().workClass(), neighbor);
            if (Profiles.urgency(configuration, service.job()) > Profiles.urgency(configuration, job)
                    && excessSlowdown(service.job(), slot) + addedSlowdown > MAX_EXCESS_SLOWDOWN_THOUSANDTHS) {
                return OptionalDouble.empty();
            }
            cost += addedSlowdown;
        }
        return OptionalDouble.of(cost);
    }

    /** Returns the predicted excess slowdown of a service by the batch tasks on a worker, in thousandths. */
    private double excessSlowdown(JobSpecification service, WorkerSlot slot) {
        double excess = 0;
        for (Neighbor neighbor : slot.assumedBatchTasks) {
            excess += plannerState.interferenceModel.predict(service.workClass(), neighbor);
        }
        for (Task task : slot.worker.tasks()) {
            if (!task.job().serviceTask()) {
                double processors = task.allocation().millicores() / 1000.0 * task.requestedSpeedPercent() / 100;
                excess += plannerState.interferenceModel.predict(
                        service.workClass(), new Neighbor(task.job().workClass(), processors));
            }
        }
        return excess;
    }

    private static boolean hasMoreUrgentService(Worker worker, JobSpecification job, SiteConfiguration configuration) {
        int urgency = Profiles.urgency(configuration, job);
        return worker.tasks().stream()
                .anyMatch(task -> task.job().serviceTask() && Profiles.urgency(configuration, task.job()) > urgency);
    }

    private static double unusedCapacityCost(WorkerSlot slot, Resources request) {
        Resources capacity = slot.worker.capacity();
        double unusedProcessors = share(slot.free.millicores() - request.millicores(), capacity.millicores());
        double unusedMemory =
                share(slot.free.memoryMebibytes() - request.memoryMebibytes(), capacity.memoryMebibytes());
        return UNUSED_CAPACITY_COST * unusedProcessors + IMBALANCE_COST * Math.abs(unusedProcessors - unusedMemory);
    }

    private static double share(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }
}
