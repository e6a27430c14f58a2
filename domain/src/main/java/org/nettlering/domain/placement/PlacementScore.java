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
 * Says how good a worker is for a job; lower is better.
 *
 * <p>What counts, in thousandths of slowdown: what the job adds to the services on the worker, or the batch work there to the
 * service that is to start; how much is left over and how lopsided; and how many instances of a service already share the
 * rack and the failure domain. Not thread-safe.
 */
final class PlacementScore {
    /** The excess slowdown that a placement may bring a more urgent service to, in thousandths. */
    static final double MAX_EXCESS_SLOWDOWN_THOUSANDTHS = 120;

    /** What a whole worker left over costs. */
    private static final double LEFTOVER_COST = 20;

    /** What the largest lopsidedness costs. */
    private static final double IMBALANCE_COST = 20;

    /** What another instance of the service on the same worker costs. */
    private static final double SAME_WORKER_COST = 200;

    /** What another instance of the service in the same rack costs. */
    private static final double SAME_RACK_COST = 60;

    /** What another instance of the service in the same failure domain costs. */
    private static final double SAME_DOMAIN_COST = 15;

    /** What is known of the site. */
    private final PlannerState plannerState;

    PlacementScore(PlannerState plannerState) {
        this.plannerState = plannerState;
    }

    /** Returns the score, or nothing if the job would disturb a more urgent service too much. */
    OptionalDouble costOf(WorkerSlot slot, JobSpecification job, Resources request, SiteConfiguration configuration) {
        Worker worker = slot.worker;
        double cost = leftoverCost(slot, request);
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

    /** Returns the excess slowdown of a service under the batch work that is on a worker. */
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

    private static double leftoverCost(WorkerSlot slot, Resources request) {
        Resources capacity = slot.worker.capacity();
        double processors = share(slot.free.millicores() - request.millicores(), capacity.millicores());
        double memory = share(slot.free.memoryMebibytes() - request.memoryMebibytes(), capacity.memoryMebibytes());
        return LEFTOVER_COST * processors + IMBALANCE_COST * Math.abs(processors - memory);
    }

    private static double share(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }
}
