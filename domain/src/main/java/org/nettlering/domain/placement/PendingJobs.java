package org.nettlering.domain.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.estimate.ClassEstimates;
import org.nettlering.domain.profile.Profiles;
import org.nettlering.domain.task.JobSpecification;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.Task;

/**
 * The jobs that wait for placement, in groups of jobs with equal requirements.
 *
 * <p>When the first job of a group cannot be placed, the planner skips the rest of the group in that round. A long
 * queue of jobs that cannot be placed is therefore cheap and blocks no other group.
 *
 * <p>The rank of a job is fixed while it is pending: its submission time, moved forward by its urgency and by a near
 * deadline. Jobs submitted later eventually rank behind it, so no job starves. Not thread-safe.
 */
final class PendingJobs {
    /** Time by which each point of urgency moves a job's rank forward. */
    private static final long MILLIS_PER_URGENCY_POINT = 30_000;

    /** Lead of a job over its latest start time, which puts it ahead of jobs with an urgency of up to 100. */
    private static final long DEADLINE_LEAD_MILLIS = 100 * MILLIS_PER_URGENCY_POINT;

    private final Map<GroupKey, Group> groups = new LinkedHashMap<>();

    private final Map<Task, Entry> entries = new HashMap<>();

    private final ClassEstimates estimates;

    PendingJobs(ClassEstimates estimates) {
        this.estimates = estimates;
    }

    /** Updates the entry of a task after a change of the task or of the configuration. */
    void update(Task task, SiteConfiguration configuration, long nowMillis) {
        remove(task);
        if (!task.phase().isSchedulable()) {
            return;
        }
        JobSpecification job = task.job();
        boolean ungrouped = !task.failedWorkerIds().isEmpty();
        GroupKey key = new GroupKey(
                job.team(),
                job.profile(),
                job.service(),
                job.workClass(),
                job.declaredResources(),
                job.powerMilliwatts(),
                ungrouped ? job.jobId() : "");
        Group group = groups.computeIfAbsent(key, Group::new);
        Entry entry = new Entry(rank(task, configuration, nowMillis), task, group);
        entries.put(task, entry);
        group.entries.add(entry);
    }

    void clear() {
        groups.clear();
        entries.clear();
    }

    Collection<Group> groups() {
        return groups.values();
    }

    int size() {
        return entries.size();
    }

    private void remove(Task task) {
        Entry entry = entries.remove(task);
        if (entry == null) {
            return;
        }
        entry.group().entries.remove(entry);
        if (entry.group().entries.isEmpty()) {
            groups.remove(entry.group().key);
        }
    }

    private long rank(Task task, SiteConfiguration configuration, long nowMillis) {
        JobSpecification job = task.job();
        long baseRank = task.submittedMillis() - MILLIS_PER_URGENCY_POINT * Profiles.urgency(configuration, job);
        if (job.deadlineMillis() == 0) {
            return baseRank;
        }
        long latestStart = job.deadlineMillis() - estimates.runTimeMillis(job);
        return latestStart < nowMillis ? baseRank : Math.min(baseRank, latestStart - DEADLINE_LEAD_MILLIS);
    }

    /** Requirements shared by the jobs of a group; a job that failed before is its own group, as it avoids workers. */
    private record GroupKey(
            String team,
            String profile,
            String service,
            String workClass,
            Resources declaredResources,
            long milliwatts,
            String ungroupedJobId) {}

    /** A pending job; lower ranks are placed first. */
    record Entry(long rank, Task task, Group group) {}

    /** Jobs with equal requirements, in order of rank. */
    static final class Group {
        private final GroupKey key;

        /** Time before which the group is skipped, because its first job could not be placed. */
        long blockedUntilMillis;

        final TreeSet<Entry> entries = new TreeSet<>(Comparator.comparingLong(Entry::rank)
                .thenComparing(entry -> entry.task().job().jobId()));

        private Group(GroupKey key) {
            this.key = key;
        }
    }
}
