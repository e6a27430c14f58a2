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
 * Sums of what is committed for each team and profile, and where the instances of each service are.
 *
 * <p>Kept up to date task by task, and built anew when the configuration changes. Not thread-safe.
 */
final class PlacedTasks {
    /** What each placed task counts for. */
    private final Map<Task, TaskAllocation> allocations = new HashMap<>();

    /** Committed amounts by team. */
    private final Map<String, Resources> resourcesByTeam = new HashMap<>();

    /** Committed draws by profile. */
    private final Map<String, Long> milliwattsByProfile = new HashMap<>();

    /** Instances by service and worker, rack or failure domain. */
    private final Map<ServiceLocation, Integer> instances = new HashMap<>();

    /** Takes note of a task as it is now. */
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

    /** Counts a start that was decided in this round. */
    void addAssumed(JobSpecification job, String profile, Resources resources, long milliwatts, Worker worker) {
        applyAllocation(new TaskAllocation(job, profile, resources, milliwatts, worker), 1);
    }

    /** Takes back what {@link #addAssumed} counted. */
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

    int instances(JobSpecification job, String place) {
        return instances.getOrDefault(new ServiceLocation(serviceOf(job), place), 0);
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

    private void addInstances(ServiceLocation location, int sign) {
        instances.compute(location, (key, count) -> sum(count, sign));
    }

    private static @Nullable Integer sum(@Nullable Integer count, int sign) {
        int total = (count == null ? 0 : count) + sign;
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

    /** What one task counts for. */
    private record TaskAllocation(
            JobSpecification job, String profile, Resources resources, long milliwatts, Worker worker) {}

    /** A service on a worker, in a rack or in a failure domain. */
    private record ServiceLocation(String service, String place) {}
}
