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
 * The jobs that wait for a start, in groups of alike ones.
 *
 * <p>When one job of a group finds no place, the others need not be tried in the same round, so a long queue of jobs that
 * find none costs little and blocks nobody. A job's rank does not change with time: it is when it was submitted, moved
 * forward by its urgency and by a near deadline, so that a waiting job passes ever more of the later ones and none starves.
 * Not thread-safe.
 */
final class PendingJobs {
    /** How far each point of urgency moves a job forward. */
    private static final long MILLIS_PER_URGENCY_POINT = 30_000;

    /** How far before its latest start a job with a deadline goes ahead of urgencies up to 100. */
    private static final long DEADLINE_LEAD_MILLIS = 100 * MILLIS_PER_URGENCY_POINT;

    /** Groups by what their jobs have in common. */
    private final Map<GroupKey, Group> groups = new LinkedHashMap<>();

    /** Where each waiting job stands. */
    private final Map<Task, Entry> entries = new HashMap<>();

    /** Learned run times. */
    private final ClassEstimates estimates;

    PendingJobs(ClassEstimates estimates) {
        this.estimates = estimates;
    }

    /** Takes note of a task as it is now. */
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

    /** What alike jobs have in common; a job that failed before is alone, because it avoids workers. */
    private record GroupKey(
            String team,
            String profile,
            String service,
            String workClass,
            Resources declared,
            long milliwatts,
            String ungroupedJobId) {}

    /** A waiting job and its rank; lower ranks go first. */
    record Entry(long rank, Task task, Group group) {}

    /** Alike jobs, the lowest rank first. */
    static final class Group {
        /** What the jobs have in common. */
        private final GroupKey key;

        /** Until when the group is not tried again, because its first job found no place. */
        long blockedUntilMillis;

        /** The waiting jobs. */
        final TreeSet<Entry> entries = new TreeSet<>(Comparator.comparingLong(Entry::rank)
                .thenComparing(entry -> entry.task().job().jobId()));

        private Group(GroupKey key) {
            this.key = key;
        }
    }
}
