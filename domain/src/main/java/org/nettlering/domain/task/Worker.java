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
 * <p>Changed only by {@link TaskState}; readers hold the same lock as whoever applies commands. Not thread-safe.
 */
public final class Worker {
    /** How many decisions are kept to explain a worker. */
    private static final int MAX_DECISIONS = 16;

    /** The id it reports under. */
    private final String id;

    /** The start of its process that the session belongs to. */
    long incarnation;

    /** Raised by each registration. */
    long session;

    /** False after its lease ended. */
    boolean live;

    /** What it offers. */
    Resources capacity = Resources.NONE;

    /** What is committed on it. */
    Resources allocated = Resources.NONE;

    /** The draw of the tasks committed on it. */
    long taskMilliwatts;

    /** Its draw without any task. */
    long idleMilliwatts;

    /** The rack it sits in. */
    String rack = "";

    /** The failure domain it belongs to. */
    String failureDomain = "";

    /** Until when it gets no new task, zero if not quarantined. */
    long quarantinedUntilMillis;

    /** How often it was quarantined since it last completed a task. */
    int quarantines;

    /** Jobs that failed here and nowhere else, or completed elsewhere, since a task last completed here. */
    final Set<String> attributedFailures = new LinkedHashSet<>();

    /** Tasks committed here, by job. */
    final Map<String, Task> tasks = new LinkedHashMap<>();

    /** The latest decisions, the oldest first. */
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

    /** Returns the id it reports under. */
    public String id() {
        return id;
    }

    /** Returns the start of its process that the session belongs to. */
    public long incarnation() {
        return incarnation;
    }

    /** Returns the number of the session, raised by each registration. */
    public long session() {
        return session;
    }

    /** Returns whether its session is open. */
    public boolean isLive() {
        return live;
    }

    /** Returns what it offers. */
    public Resources capacity() {
        return capacity;
    }

    /** Returns what is committed on it. */
    public Resources allocated() {
        return allocated;
    }

    /** Returns what is left to commit. */
    public Resources free() {
        return capacity.minus(allocated);
    }

    /** Returns the draw that counts against the cap: idle and committed tasks. */
    public long allocatedMilliwatts() {
        return idleMilliwatts + taskMilliwatts;
    }

    /** Returns its draw without any task. */
    public long idleMilliwatts() {
        return idleMilliwatts;
    }

    /** Returns the rack it sits in. */
    public String rack() {
        return rack;
    }

    /** Returns the failure domain it belongs to. */
    public String failureDomain() {
        return failureDomain;
    }

    /** Returns until when it gets no new task, zero if not quarantined. */
    public long quarantinedUntilMillis() {
        return quarantinedUntilMillis;
    }

    /** Returns how often it was quarantined since it last completed a task. */
    public int quarantines() {
        return quarantines;
    }

    /** Returns the jobs that failed here and nowhere else, or completed elsewhere, since a task last completed here. */
    public Set<String> attributedFailures() {
        return Collections.unmodifiableSet(attributedFailures);
    }

    /** Returns whether it gets one task at a time, because it has completed none since its quarantine. */
    public boolean isOnProbation() {
        return quarantines > 0;
    }

    /** Returns the tasks committed here, as a view. */
    public Collection<Task> tasks() {
        return Collections.unmodifiableCollection(tasks.values());
    }

    /** Returns the latest decisions, the oldest first. */
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
