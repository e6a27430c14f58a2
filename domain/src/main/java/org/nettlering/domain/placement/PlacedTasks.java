package org.nettlering.domain.placement;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.configuration.Profile;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.profile.Profiles;
import org.nettlering.domain.task.JobSpecification;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.Worker;

/**
 * Totals of the allocations by team and profile, and the number of service instances by location.
 *
 * <p>Updated task by task, and rebuilt when the configuration changes. Not thread-safe.
 */
final class PlacedTasks {
    /** Contribution of each placed task to the totals. */
    private final Map<Task, TaskAllocation> allocations = new HashMap<>();

    private final Map<String, Resources> resourcesByTeam = new HashMap<>();

    /** Allocated power by profile name. */
    private final Map<String, Long> milliwattsByProfile = new HashMap<>();

    /** Number of instances by service and by worker, rack or failure domain. */
    private final Map<ServiceLocation, Integer> instances = new HashMap<>();

    /** Updates the contribution of a task after a change. */
    void update(Task task, SiteConfiguration configuration) {
        remove(task);
        Worker worker = task.worker();
        if (worker == null) {
            return;
        }
        String profile =
                Profiles.of(configuration, task.job()).map(Profile::name).orElse("");
        TaskAllocation allocation =
                new TaskAllocation(task.job(), profile, task.allocation(), task.allocatedMilliwatts(), worker);
        allocations.put(task, allocation);
        applyAllocation(allocation, 1);
    }

    /** Adds a start that was decided in the current round. */
    void addAssumed(JobSpecification job, String profile, Resources resources, long milliwatts, Worker worker) {
        applyAllocation(new TaskAllocation(job, profile, resources, milliwatts, worker), 1);
    }

    /** Reverts {@link #addAssumed}. */
    void removeAssumed(JobSpecification job, String profile, Resources resources, long milliwatts, Worker worker) {
        applyAllocation(new TaskAllocation(job, profile, resources, milliwatts, worker), -1);
    }

    void clear() {
        allocations.clear();
        resourcesByTeam.clear();
        milliwattsByProfile.clear();
        instances.clear();
    }

    Resources teamResources(String team) {
        return resourcesByTeam.getOrDefault(team, Resources.NONE);
    }

    long profileMilliwatts(String profile) {
        return milliwattsByProfile.getOrDefault(profile, 0L);
    }

    int instances(JobSpecification job, String location) {
        return instances.getOrDefault(new ServiceLocation(serviceOf(job), location), 0);
    }

    private void remove(Task task) {
        TaskAllocation allocation = allocations.remove(task);
        if (allocation != null) {
            applyAllocation(allocation, -1);
        }
    }

    private void applyAllocation(TaskAllocation allocation, int sign) {
        resourcesByTeam.merge(
                allocation.job().team(), allocation.resources(), sign > 0 ? Resources::plus : Resources::minus);
        milliwattsByProfile.merge(allocation.profile(), sign * allocation.milliwatts(), Long::sum);
        if (allocation.job().serviceTask()) {
            Worker worker = allocation.worker();
            addInstances(new ServiceLocation(serviceOf(allocation.job()), worker.id()), sign);
            addInstances(new ServiceLocation(serviceOf(allocation.job()), rackOf(worker)), sign);
            addInstances(new ServiceLocation(serviceOf(allocation.job()), domainOf(worker)), sign);
        }
    }

    private void addInstances(ServiceLocation serviceLocation, int sign) {
        instances.compute(serviceLocation, (key, instanceCount) -> sum(instanceCount, sign));
    }

    private static @Nullable Integer sum(@Nullable Integer instanceCount, int sign) {
        int total = (instanceCount == null ? 0 : instanceCount) + sign;
        return total == 0 ? null : total;
    }

    static String rackOf(Worker worker) {
        return "rack " + worker.failureDomain() + "/" + worker.rack();
    }

    static String domainOf(Worker worker) {
        return "domain " + worker.failureDomain();
    }

    private static String serviceOf(JobSpecification job) {
        return job.service().isEmpty() ? job.workClass() : job.service();
    }

    /** A task's contribution to the totals. */
    private record TaskAllocation(
            JobSpecification job, String profile, Resources resources, long milliwatts, Worker worker) {}

    /** A service and a worker, rack or failure domain. */
    private record ServiceLocation(String service, String location) {}
}
