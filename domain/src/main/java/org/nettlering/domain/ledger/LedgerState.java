package org.nettlering.domain.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;
import org.jspecify.annotations.Nullable;

/**
 * The idempotency keys of non-idempotent requests, which ensure that each request runs at most once while its key is
 * retained.
 *
 * <ul>
 *   <li>A key is retained for {@link #MAXIMUM_RETENTION}.
 *   <li>When the ledger is full, a new key replaces the oldest one if that is older than {@link #MINIMUM_RETENTION};
 *       otherwise the new key is rejected with {@link LedgerResult.Full}.
 *   <li>A key that was removed counts as new, unless it is a version 7 UUID whose time is not after the horizon, the
 *       latest reservation time of a key that was removed by age: the result is then {@link LedgerResult.Unknown}.
 * </ul>
 *
 * <p>Deterministic: the time is part of the commands. Thread-safe.
 */
public final class LedgerState {
    /** How long a key is retained at most. */
    public static final Duration MAXIMUM_RETENTION = Duration.ofHours(24);

    /** How long a key is retained at least, even if the ledger is full. */
    public static final Duration MINIMUM_RETENTION = Duration.ofHours(1);

    /** The maximum number of keys. */
    public static final int MAXIMUM_KEYS = 100_000;

    /** The maximum total size of all stored response bodies; the oldest ones are dropped first. */
    public static final int MAXIMUM_TOTAL_BODY_BYTES = 16 * 1024 * 1024;

    /** The maximum size of one stored response body; a larger body is dropped. */
    public static final int MAXIMUM_RESPONSE_BODY_BYTES = 16 * 1024;

    /** The maximum number of keys, smaller in tests. */
    private final int maximumKeys;

    /** Guards all fields below. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The entries by number, which is the order of their reservation. */
    private final TreeMap<Long, LedgerEntry> entries = new TreeMap<>();

    /** The number of the entry of each key. */
    private final Map<LedgerKey, Long> numberByKey = new HashMap<>();

    /** The body size of each entry with a stored body, by number of the entry. */
    private final TreeMap<Long, Integer> bodyBytesByNumber = new TreeMap<>();

    private long totalBodyBytes;

    private long nextNumber;

    /** The latest time of any command. */
    private Instant clock = Instant.EPOCH;

    /** The latest reservation time of a key that was removed by age. */
    private Instant horizon = Instant.EPOCH;

    /**
     * Creates an empty ledger.
     *
     * @return a new ledger, never null
     */
    public static LedgerState create() {
        return new LedgerState(MAXIMUM_KEYS);
    }

    /**
     * Creates an empty ledger with another maximum number of keys.
     *
     * @param maximumKeys the maximum number of keys, positive
     * @return a new ledger, never null
     */
    public static LedgerState withMaximumKeys(int maximumKeys) {
        return new LedgerState(maximumKeys);
    }

    private LedgerState(int maximumKeys) {
        this.maximumKeys = maximumKeys;
    }

    /**
     * Returns what is known about a key, without changing the ledger.
     *
     * @param key the key, not null
     * @param now the current time by the clock of the control leader, not null
     * @return the result, {@link LedgerResult.Absent} if the key is not in the ledger, never null
     */
    public LedgerResult lookUp(LedgerKey key, Instant now) {
        lock.lock();
        try {
            LedgerEntry entry = find(key);
            return entry == null ? new LedgerResult.Absent() : resultFor(entry, now);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns a snapshot of the state.
     *
     * @return the snapshot, never null
     */
    public Snapshot snapshot() {
        lock.lock();
        try {
            return new Snapshot(new ArrayList<>(entries.values()), clock, horizon);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Reserves a key for an attempt.
     *
     * <p>If the attempt that holds the key repeats the command while it is in flight, the result is the same.
     *
     * @param reservation the reservation, not null
     * @return {@link LedgerResult.Reserved}, or the reason why the request must not be dispatched, never null
     */
    public LedgerResult reserve(Reservation reservation) {
        lock.lock();
        try {
            advanceClock(reservation.time());
            LedgerEntry entry = find(reservation.key());
            if (entry != null) {
                return resultOfReservation(entry, reservation);
            }
            if (predatesHorizon(reservation.key())) {
                return new LedgerResult.Unknown();
            }
            if (!ensureCapacity()) {
                return new LedgerResult.Full();
            }
            add(LedgerEntry.inFlight(reservation));
            return new LedgerResult.Reserved();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Stores the outcome of an attempt. Only the attempt that holds the key can store an outcome, and a stored outcome
     * is never replaced.
     *
     * @param key the key, not null
     * @param attemptId the id of the attempt, not null
     * @param outcome the outcome, not null
     * @param response the response, null unless the outcome is {@code RESPONDED}
     * @param time the current time by the clock of the control leader, not null
     * @return {@link LedgerResult.OutcomeStored}, or what is known about the key if another attempt or none holds it,
     *     never null
     */
    public LedgerResult complete(
            LedgerKey key, String attemptId, KeyOutcome outcome, @Nullable StoredResponse response, Instant time) {
        lock.lock();
        try {
            advanceClock(time);
            Long number = numberByKey.get(key);
            if (number == null) {
                return new LedgerResult.Absent();
            }
            LedgerEntry entry = requireEntry(number);
            if (!entry.reservation().attemptId().equals(attemptId)) {
                return resultFor(entry, clock);
            }
            if (entry.outcome() != null) {
                return new LedgerResult.OutcomeStored();
            }
            storeOutcome(number, entry, outcome, response);
            return new LedgerResult.OutcomeStored();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Replaces the state with a snapshot.
     *
     * @param snapshot the snapshot, not null
     */
    public void restore(Snapshot snapshot) {
        lock.lock();
        try {
            entries.clear();
            numberByKey.clear();
            bodyBytesByNumber.clear();
            totalBodyBytes = 0;
            nextNumber = 0;
            clock = snapshot.clock();
            horizon = snapshot.horizon();
            snapshot.entries().forEach(this::add);
        } finally {
            lock.unlock();
        }
    }

    private @Nullable LedgerEntry find(LedgerKey key) {
        Long number = numberByKey.get(key);
        return number == null ? null : entries.get(number);
    }

    private LedgerEntry requireEntry(long number) {
        LedgerEntry entry = entries.get(number);
        if (entry == null) {
            throw new IllegalStateException("ledger entry " + number + " is missing");
        }
        return entry;
    }

    private LedgerResult resultOfReservation(LedgerEntry entry, Reservation reservation) {
        Reservation holder = entry.reservation();
        if (!holder.contentDigest().equals(reservation.contentDigest())) {
            return new LedgerResult.ContentMismatch();
        }
        if (entry.outcome() == null && holder.attemptId().equals(reservation.attemptId())) {
            return new LedgerResult.Reserved();
        }
        return resultFor(entry, clock);
    }

    private static LedgerResult resultFor(LedgerEntry entry, Instant now) {
        StoredResponse response = entry.response();
        if (response != null) {
            return new LedgerResult.Completed(response);
        }
        if (entry.outcome() != null) {
            return new LedgerResult.Unknown();
        }
        Reservation holder = entry.reservation();
        Duration remaining = Duration.between(now, holder.time().plus(holder.timeout()));
        if (remaining.isNegative()) {
            return new LedgerResult.Unknown();
        }
        return new LedgerResult.InFlight(holder.entryId(), holder.attemptId(), remaining);
    }

    private boolean predatesHorizon(LedgerKey key) {
        return KeyTimestamp.of(key.key())
                .filter(createdAt -> !createdAt.isAfter(horizon))
                .isPresent();
    }

    private void storeOutcome(long number, LedgerEntry entry, KeyOutcome outcome, @Nullable StoredResponse response) {
        if (outcome == KeyOutcome.NOT_RUN) {
            remove(number);
            return;
        }
        StoredResponse stored = response != null && response.bodyBytes() > MAXIMUM_RESPONSE_BODY_BYTES
                ? response.withBodyDropped()
                : response;
        LedgerEntry completed = new LedgerEntry(entry.reservation(), outcome, stored);
        entries.put(number, completed);
        addBodyBytes(number, completed);
        while (totalBodyBytes > MAXIMUM_TOTAL_BODY_BYTES) {
            removeOldestBody();
        }
    }

    private void add(LedgerEntry entry) {
        long number = nextNumber++;
        entries.put(number, entry);
        numberByKey.put(entry.reservation().key(), number);
        addBodyBytes(number, entry);
    }

    private void addBodyBytes(long number, LedgerEntry entry) {
        if (entry.bodyBytes() > 0) {
            bodyBytesByNumber.put(number, entry.bodyBytes());
            totalBodyBytes += entry.bodyBytes();
        }
    }

    private void removeOldestBody() {
        Map.Entry<Long, Integer> oldest = bodyBytesByNumber.pollFirstEntry();
        totalBodyBytes -= oldest.getValue();
        entries.put(oldest.getKey(), requireEntry(oldest.getKey()).withoutBody());
    }

    private void advanceClock(Instant time) {
        if (time.isAfter(clock)) {
            clock = time;
        }
        while (!entries.isEmpty() && isOlderThan(entries.firstEntry().getValue(), MAXIMUM_RETENTION)) {
            removeOldest();
        }
    }

    private boolean ensureCapacity() {
        if (entries.size() < maximumKeys) {
            return true;
        }
        if (!isOlderThan(entries.firstEntry().getValue(), MINIMUM_RETENTION)) {
            return false;
        }
        removeOldest();
        return true;
    }

    private boolean isOlderThan(LedgerEntry entry, Duration age) {
        return entry.reservation().time().plus(age).isBefore(clock);
    }

    private void removeOldest() {
        Instant time = entries.firstEntry().getValue().reservation().time();
        if (time.isAfter(horizon)) {
            horizon = time;
        }
        remove(entries.firstKey());
    }

    private void remove(long number) {
        LedgerEntry entry = entries.remove(number);
        if (entry == null) {
            return;
        }
        numberByKey.remove(entry.reservation().key());
        Integer bytes = bodyBytesByNumber.remove(number);
        totalBodyBytes -= bytes == null ? 0 : bytes;
    }

    /**
     * A snapshot of the ledger.
     *
     * @param entries the entries in the order of their reservation, not null
     * @param clock the latest time of any command, not null
     * @param horizon the latest reservation time of a key that was removed by age, not null
     */
    public record Snapshot(List<LedgerEntry> entries, Instant clock, Instant horizon) {
        /** Copies the list of entries. */
        public Snapshot {
            entries = List.copyOf(entries);
        }
    }
}
