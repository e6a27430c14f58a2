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
    private final Map<Task, Share> shares = new HashMap<>();

    /** Committed amounts by team. */
    private final Map<String, Resources> teams = new HashMap<>();

    /** Committed draws by profile. */
    private final Map<String, Long> profiles = new HashMap<>();

    /** Instances by service and worker, rack or failure domain. */
    private final Map<Spot, Integer> instances = new HashMap<>();

    /** Takes note of a task as it is now. */
    void update(Task task, SiteConfiguration configuration) {
        remove(task);
        Worker worker = task.worker();
        if (worker == null) {
            return;
        }
        String profile =
                Profiles.of(configuration, task.job()).map(Profile::name).orElse("");
        Share share = new Share(task.job(), profile, task.allocation(), task.allocatedMilliwatts(), worker);
        shares.put(task, share);
        count(share, 1);
    }

    /** Counts a start that was decided in this round. */
    void reserve(JobSpecification job, String profile, Resources commitment, long milliwatts, Worker worker) {
        count(new Share(job, profile, commitment, milliwatts, worker), 1);
    }

    /** Takes back what {@link #reserve} counted. */
    void unreserve(JobSpecification job, String profile, Resources commitment, long milliwatts, Worker worker) {
        count(new Share(job, profile, commitment, milliwatts, worker), -1);
    }

    void clear() {
        shares.clear();
        teams.clear();
        profiles.clear();
        instances.clear();
    }

    Resources ofTeam(String team) {
        return teams.getOrDefault(team, Resources.NONE);
    }

    long milliwattsOf(String profile) {
        return profiles.getOrDefault(profile, 0L);
    }

    int instances(JobSpecification job, String place) {
        return instances.getOrDefault(new Spot(serviceOf(job), place), 0);
    }

    private void remove(Task task) {
        Share share = shares.remove(task);
        if (share != null) {
            count(share, -1);
        }
    }

    private void count(Share share, int sign) {
        teams.merge(share.job().team(), share.commitment(), sign > 0 ? Resources::plus : Resources::minus);
        profiles.merge(share.profile(), sign * share.milliwatts(), Long::sum);
        if (share.job().serviceTask()) {
            Worker worker = share.worker();
            add(new Spot(serviceOf(share.job()), worker.id()), sign);
            add(new Spot(serviceOf(share.job()), rackOf(worker)), sign);
            add(new Spot(serviceOf(share.job()), domainOf(worker)), sign);
        }
    }

    private void add(Spot spot, int sign) {
        instances.compute(spot, (key, count) -> sum(count, sign));
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
    private record Share(JobSpecification job, String profile, Resources commitment, long milliwatts, Worker worker) {}

    /** A service on a worker, in a rack or in a failure domain. */
    private record Spot(String service, String place) {}
}
