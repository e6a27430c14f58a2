package org.nettlering.domain.task;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A worker in the replicated state.
 *
 * <p>Modified only by {@link TaskState}. Not thread-safe: readers must hold the lock under which commands are applied.
 */
public final class Worker {
    /** The number of most recent decisions that are retained per worker. */
    private static final int MAX_DECISIONS = 16;

    private final String id;

    /** The process incarnation to which the session belongs. */
    long incarnation;

    /** Incremented with each registration. */
    long session;

    /** Whether the session is open; false after the lease expired. */
    boolean live;

    Resources capacity = Resources.NONE;

    Resources allocated = Resources.NONE;

    /** The allocated power of the tasks placed on the worker. */
    long taskMilliwatts;

    /** The power of the worker without any task. */
    long idleMilliwatts;

    String rack = "";

    String failureDomain = "";

    /** Time until which the worker is excluded from new placements, 0 if not quarantined. */
    long quarantinedUntilMillis;

    /** Number of quarantines since a task last completed on the worker. */
    int quarantines;

    /**
     * Ids of the jobs whose failures are attributed to this worker: they failed here and on no other worker, or completed
     * on another. Cleared when a task completes here and when the worker is quarantined.
     */
    final Set<String> attributedFailures = new LinkedHashSet<>();

    /** The tasks placed on the worker, by job id. */
    final Map<String, Task> tasks = new LinkedHashMap<>();

    /** The most recent decisions, oldest first. */
    final Deque<Decision> decisions = new ArrayDeque<>();

    Worker(String id) {
        this.id = id;
    }

    static Worker fromSnapshot(StoredWorker stored) {
        Worker worker = new Worker(stored.id());
        worker.incarnation = stored.incarnation();
        worker.session = stored.session();
        worker.live = stored.live();
        worker.capacity = stored.capacity();
        worker.rack = stored.rack();
        worker.failureDomain = stored.failureDomain();
        worker.quarantinedUntilMillis = stored.quarantinedUntilMillis();
        worker.quarantines = stored.quarantines();
        worker.attributedFailures.addAll(stored.attributedFailures());
        worker.decisions.addAll(stored.decisions());
        return worker;
    }

    StoredWorker snapshot() {
        return new StoredWorker(
                id,
                incarnation,
                session,
                live,
                capacity,
                idleMilliwatts,
                rack,
                failureDomain,
                quarantinedUntilMillis,
                quarantines,
                List.copyOf(attributedFailures),
                decisions());
    }

    /** Returns the id under which the worker reports. */
    public String id() {
        return id;
    }

    /** Returns the process incarnation to which the session belongs. */
    public long incarnation() {
        return incarnation;
    }

    /** Returns the number of the current session, incremented with each registration. */
    public long session() {
        return session;
    }

    /** Returns whether the session is open. */
    public boolean isLive() {
        return live;
    }

    /** Returns the capacity. */
    public Resources capacity() {
        return capacity;
    }

    /** Returns the resources allocated to the tasks placed on the worker. */
    public Resources allocated() {
        return allocated;
    }

    /** Returns the unallocated capacity. */
    public Resources free() {
        return capacity.minus(allocated);
    }

    /** Returns the power that counts against the cap, in milliwatts: idle power plus allocated power of the tasks. */
    public long allocatedMilliwatts() {
        return idleMilliwatts + taskMilliwatts;
    }

    /** Returns the power of the worker without any task, in milliwatts. */
    public long idleMilliwatts() {
        return idleMilliwatts;
    }

    /** Returns the rack. */
    public String rack() {
        return rack;
    }

    /** Returns the failure domain. */
    public String failureDomain() {
        return failureDomain;
    }

    /** Returns the time until which the worker gets no new tasks, in milliseconds since the epoch; 0 if not quarantined. */
    public long quarantinedUntilMillis() {
        return quarantinedUntilMillis;
    }

    /** Returns the number of quarantines since a task last completed on the worker. */
    public int quarantines() {
        return quarantines;
    }

    /** Returns the ids of the jobs whose failures are attributed to this worker, as a view. */
    public Set<String> attributedFailures() {
        return Collections.unmodifiableSet(attributedFailures);
    }

    /** Returns whether the worker gets only one task at a time, as none has completed since its quarantine. */
    public boolean isOnProbation() {
        return quarantines > 0;
    }

    /** Returns the tasks placed on the worker, as a view. */
    public Collection<Task> tasks() {
        return Collections.unmodifiableCollection(tasks.values());
    }

    /** Returns the most recent decisions, oldest first. */
    public List<Decision> decisions() {
        return List.copyOf(decisions);
    }

    void recordDecision(long timeMillis, String summary, String rule, String details) {
        if (decisions.size() == MAX_DECISIONS) {
            decisions.removeFirst();
        }
        decisions.addLast(new Decision(timeMillis, summary, rule, details));
    }
}
