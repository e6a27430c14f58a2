package org.nettlering.standins.load;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;
import org.HdrHistogram.Histogram;

/**
 * What came of a run, filled while it goes on.
 *
 * <p>Thread-safe.
 */
public final class LoadResult {
    private static final long HIGHEST_MICROS = 600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    /** Guards the fields below. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The time to the whole answer in microseconds, from when the request was due. */
    private final Histogram latencyMicros = new Histogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS);

    /** The number of requests by final outcome. */
    private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);

    /** The number of attempts by error code of the system. */
    private final Map<String, Integer> errors = new TreeMap<>();

    /** The attempts that the system called not run. */
    private final Set<String> notRunAttempts = new HashSet<>();

    /** The keys of requests whose final outcome is answered. */
    private final Set<String> answeredKeys = new HashSet<>();

    /** The number of attempts. */
    private int attempts;

    /** Creates an empty result. */
    public LoadResult() {}

    /**
     * Returns the number of requests with a final outcome.
     *
     * @param outcome the outcome, not null
     * @return zero or more
     */
    public int count(Outcome outcome) {
        lock.lock();
        try {
            return outcomes.getOrDefault(outcome, 0);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the number of attempts of all requests.
     *
     * @return zero or more
     */
    public int attempts() {
        lock.lock();
        try {
            return attempts;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns a latency percentile of the answered requests.
     *
     * @param percentile from 0 to 100
     * @return milliseconds
     */
    public double latencyMillis(double percentile) {
        lock.lock();
        try {
            return latencyMicros.getValueAtPercentile(percentile) / 1_000.0;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the attempts that the system called not run.
     *
     * @return a copy, never null
     */
    public Set<String> notRunAttempts() {
        lock.lock();
        try {
            return Set.copyOf(notRunAttempts);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the keys of the non-idempotent requests that were answered.
     *
     * @return a copy, never null
     */
    public Set<String> answeredKeys() {
        lock.lock();
        try {
            return Set.copyOf(answeredKeys);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the number of attempts by error code of the system.
     *
     * @return a copy, never null
     */
    public Map<String, Integer> errors() {
        lock.lock();
        try {
            return new TreeMap<>(errors);
        } finally {
            lock.unlock();
        }
    }

    void addAttempt(String attempt, Outcome outcome, String error) {
        lock.lock();
        try {
            attempts++;
            if (outcome == Outcome.NOT_RUN) {
                notRunAttempts.add(attempt);
            }
            if (!error.isEmpty()) {
                errors.merge(error, 1, Integer::sum);
            }
        } finally {
            lock.unlock();
        }
    }

    void addRequest(String request, boolean keyed, Outcome outcome, long micros) {
        lock.lock();
        try {
            outcomes.merge(outcome, 1, Integer::sum);
            if (outcome == Outcome.ANSWERED) {
                latencyMicros.recordValue(Math.min(micros, HIGHEST_MICROS));
            }
            if (outcome == Outcome.ANSWERED && keyed) {
                answeredKeys.add(request);
            }
        } finally {
            lock.unlock();
        }
    }
}
