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
 * The keys of non-idempotent requests, so that each runs at most once.
 *
 * <p>A key is kept for {@link #LONGEST_RETENTION}; when the ledger is full, the oldest keys that were kept for at least
 * {@link #SHORTEST_RETENTION} make room, and when there is none the request is refused. A key that is no longer kept counts
 * as new, unless it is a version 7 UUID from before the last dropped key: that one gets {@code Unknown}. Deterministic: time
 * comes with the commands. Thread-safe.
 */
public final class LedgerState {
    /** How long a key is kept at most. */
    public static final Duration LONGEST_RETENTION = Duration.ofHours(24);

    /** How long a key is kept at least. */
    public static final Duration SHORTEST_RETENTION = Duration.ofHours(1);

    /** How many keys are kept. */
    public static final int MAXIMUM_KEYS = 100_000;

    /** How many bytes the bodies of all kept answers have together; the oldest are dropped first. */
    public static final int MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;

    /** How many bytes one kept body has at most. */
    public static final int MAXIMUM_ANSWER_BYTES = 16 * 1024;

    /** How many keys are kept, smaller in tests. */
    private final int maximumKeys;

    /** Guards everything below. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The entries in the order of their reservation. */
    private final TreeMap<Long, LedgerEntry> entries = new TreeMap<>();

    /** The number of each key's entry. */
    private final Map<LedgerKey, Long> numbers = new HashMap<>();

    /** The numbers of the entries whose body is kept, with the bytes. */
    private final TreeMap<Long, Integer> bodies = new TreeMap<>();

    /** The bytes of all kept bodies. */
    private long bodyBytes;

    /** The number of the next entry. */
    private long nextNumber;

    /** The latest time of a command. */
    private Instant clock = Instant.EPOCH;

    /** The latest time of a reservation that was dropped. */
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
     * Creates an empty ledger for fewer keys.
     *
     * @param maximumKeys how many keys are kept, positive
     * @return a new ledger, never null
     */
    public static LedgerState withMaximumKeys(int maximumKeys) {
        return new LedgerState(maximumKeys);
    }

    private LedgerState(int maximumKeys) {
        this.maximumKeys = maximumKeys;
    }

    /**
     * Returns what is known of a key, without changing anything.
     *
     * @param key the key, not null
     * @param now the time by the clock of the control leader, not null
     * @return the reply, never null
     */
    public LedgerReply lookUp(LedgerKey key, Instant now) {
        lock.lock();
        try {
            LedgerEntry entry = find(key);
            return entry == null ? new LedgerReply.Absent() : reply(entry, now);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Captures the state.
     *
     * @return the captured state, never null
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
     * Takes a key for an attempt.
     *
     * <p>Repeating the command of the attempt that holds the key gives the same reply.
     *
     * @param reservation the attempt, not null
     * @return the reply, never null
     */
    public LedgerReply reserve(Reservation reservation) {
        lock.lock();
        try {
            moveClock(reservation.time());
            LedgerEntry entry = find(reservation.key());
            if (entry != null) {
                return replyToReservation(entry, reservation);
            }
            if (isFromBeforeHorizon(reservation.key())) {
                return new LedgerReply.Unknown();
            }
            if (!makeRoom()) {
                return new LedgerReply.Full();
            }
            add(LedgerEntry.inFlight(reservation));
            return new LedgerReply.Reserved();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Stores how an attempt ended; only the attempt that holds the key can do so, and only once.
     *
     * @param key the key, not null
     * @param attemptId the attempt, not null
     * @param outcome how it ended, not null
     * @param answer the answer, null unless the outcome is {@code ANSWERED}
     * @param time the time by the clock of the control leader, not null
     * @return {@code Stored}, or what is known of the key, never null
     */
    public LedgerReply complete(
            LedgerKey key, String attemptId, KeyOutcome outcome, @Nullable KeptAnswer answer, Instant time) {
        lock.lock();
        try {
            moveClock(time);
            Long number = numbers.get(key);
            if (number == null) {
                return new LedgerReply.Absent();
            }
            LedgerEntry entry = get(number);
            if (!entry.reservation().attemptId().equals(attemptId)) {
                return reply(entry, clock);
            }
            if (entry.outcome() != null) {
                return new LedgerReply.Stored();
            }
            store(number, entry, outcome, answer);
            return new LedgerReply.Stored();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Replaces the state.
     *
     * @param snapshot the captured state, not null
     */
    public void restore(Snapshot snapshot) {
        lock.lock();
        try {
            entries.clear();
            numbers.clear();
            bodies.clear();
            bodyBytes = 0;
            nextNumber = 0;
            clock = snapshot.clock();
            horizon = snapshot.horizon();
            snapshot.entries().forEach(this::add);
        } finally {
            lock.unlock();
        }
    }

    private @Nullable LedgerEntry find(LedgerKey key) {
        Long number = numbers.get(key);
        return number == null ? null : entries.get(number);
    }

    private LedgerEntry get(long number) {
        LedgerEntry entry = entries.get(number);
        if (entry == null) {
            throw new IllegalStateException("ledger entry " + number + " is missing");
        }
        return entry;
    }

    private LedgerReply replyToReservation(LedgerEntry entry, Reservation reservation) {
        Reservation holder = entry.reservation();
        if (!holder.contentDigest().equals(reservation.contentDigest())) {
            return new LedgerReply.ContentMismatch();
        }
        if (entry.outcome() == null && holder.attemptId().equals(reservation.attemptId())) {
            return new LedgerReply.Reserved();
        }
        return reply(entry, clock);
    }

    private static LedgerReply reply(LedgerEntry entry, Instant now) {
        KeptAnswer answer = entry.answer();
        if (answer != null) {
            return new LedgerReply.Kept(answer);
        }
        if (entry.outcome() != null) {
            return new LedgerReply.Unknown();
        }
        Reservation holder = entry.reservation();
        Duration remaining = Duration.between(now, holder.time().plus(holder.timeout()));
        if (remaining.isNegative()) {
            return new LedgerReply.Unknown();
        }
        return new LedgerReply.InFlight(holder.entryId(), holder.attemptId(), remaining);
    }

    private boolean isFromBeforeHorizon(LedgerKey key) {
        return KeyTime.of(key.key()).filter(made -> !made.isAfter(horizon)).isPresent();
    }

    private void store(long number, LedgerEntry entry, KeyOutcome outcome, @Nullable KeptAnswer answer) {
        if (outcome == KeyOutcome.NOT_RUN) {
            remove(number);
            return;
        }
        KeptAnswer kept =
                answer != null && answer.bodyBytes() > MAXIMUM_ANSWER_BYTES ? answer.withBodyDropped() : answer;
        LedgerEntry ended = new LedgerEntry(entry.reservation(), outcome, kept);
        entries.put(number, ended);
        countBody(number, ended);
        while (bodyBytes > MAXIMUM_BODY_BYTES) {
            dropOldestBody();
        }
    }

    private void add(LedgerEntry entry) {
        long number = nextNumber++;
        entries.put(number, entry);
        numbers.put(entry.reservation().key(), number);
        countBody(number, entry);
    }

    private void countBody(long number, LedgerEntry entry) {
        if (entry.bodyBytes() > 0) {
            bodies.put(number, entry.bodyBytes());
            bodyBytes += entry.bodyBytes();
        }
    }

    private void dropOldestBody() {
        Map.Entry<Long, Integer> oldest = bodies.pollFirstEntry();
        bodyBytes -= oldest.getValue();
        entries.put(oldest.getKey(), get(oldest.getKey()).withBodyDropped());
    }

    private void moveClock(Instant time) {
        if (time.isAfter(clock)) {
            clock = time;
        }
        while (!entries.isEmpty() && isOlderThan(entries.firstEntry().getValue(), LONGEST_RETENTION)) {
            dropOldest();
        }
    }

    private boolean makeRoom() {
        if (entries.size() < maximumKeys) {
            return true;
        }
        if (!isOlderThan(entries.firstEntry().getValue(), SHORTEST_RETENTION)) {
            return false;
        }
        dropOldest();
        return true;
    }

    private boolean isOlderThan(LedgerEntry entry, Duration age) {
        return entry.reservation().time().plus(age).isBefore(clock);
    }

    private void dropOldest() {
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
        numbers.remove(entry.reservation().key());
        Integer bytes = bodies.remove(number);
        bodyBytes -= bytes == null ? 0 : bytes;
    }

    /**
     * A captured state.
     *
     * @param entries the entries in the order of their reservation, not null
     * @param clock the latest time of a command, not null
     * @param horizon the latest time of a reservation that was dropped, not null
     */
    public record Snapshot(List<LedgerEntry> entries, Instant clock, Instant horizon) {
        /** Copies the list. */
        public Snapshot {
            entries = List.copyOf(entries);
        }
    }
}
