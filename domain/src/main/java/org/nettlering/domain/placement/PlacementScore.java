package org.nettlering.domain.placement;

import java.util.OptionalDouble;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.interference.InterferenceModel.Neighbor;
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
    static final double LARGEST_EXCESS_THOUSANDTHS = 120;

    /** What a whole worker left over costs. */
    private static final double LEFTOVER_COST = 20;

    /** What the largest lopsidedness costs. */
    private static final double LOPSIDED_COST = 20;

    /** What another instance of the service on the same worker costs. */
    private static final double WORKER_COST = 200;

    /** What another instance of the service in the same rack costs. */
    private static final double RACK_COST = 60;

    /** What another instance of the service in the same failure domain costs. */
    private static final double DOMAIN_COST = 15;

    /** What is known of the site. */
    private final Site site;

    PlacementScore(Site site) {
        this.site = site;
    }

    /** Returns the score, or nothing if the job would disturb a more urgent service too much. */
    OptionalDouble of(WorkerSlot slot, JobSpecification job, Resources size, SiteConfiguration configuration) {
        Worker worker = slot.worker;
        double cost = leftover(slot, size);
        if (job.serviceTask()) {
            cost += WORKER_COST * site.placed.instances(job, worker.id())
                    + RACK_COST * site.placed.instances(job, PlacedTasks.rackOf(worker))
                    + DOMAIN_COST * site.placed.instances(job, PlacedTasks.domainOf(worker));
            return OptionalDouble.of(cost + excess(job, slot));
        }
        if (site.guard.isTroubled(worker.id()) && hasMoreUrgentService(worker, job, configuration)) {
            return OptionalDouble.empty();
        }
        Neighbor neighbor = new Neighbor(job.workClass(), size.millicores() / 1000.0);
        for (Task service : worker.tasks()) {
            if (!service.job().serviceTask()) {
                continue;
            }
            double added = site.model.predict(service.job().workClass(), neighbor);
            if (Profiles.urgency(configuration, service.job()) > Profiles.urgency(configuration, job)
                    && excess(service.job(), slot) + added > LARGEST_EXCESS_THOUSANDTHS) {
                return OptionalDouble.empty();
            }
            cost += added;
        }
        return OptionalDouble.of(cost);
    }

    /** Returns the excess slowdown of a service under the batch work that is on a worker. */
    private double excess(JobSpecification service, WorkerSlot slot) {
        double excess = 0;
        for (Neighbor neighbor : slot.started) {
            excess += site.model.predict(service.workClass(), neighbor);
        }
        for (Task task : slot.worker.tasks()) {
            if (!task.job().serviceTask()) {
                double processors = task.allocation().millicores() / 1000.0 * task.requestedSpeedPercent() / 100;
                excess += site.model.predict(
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

    private static double leftover(WorkerSlot slot, Resources size) {
        Resources capacity = slot.worker.capacity();
        double processors = share(slot.free.millicores() - size.millicores(), capacity.millicores());
        double memory = share(slot.free.memoryMebibytes() - size.memoryMebibytes(), capacity.memoryMebibytes());
        return LEFTOVER_COST * processors + LOPSIDED_COST * Math.abs(processors - memory);
    }

    private static double share(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }
}
