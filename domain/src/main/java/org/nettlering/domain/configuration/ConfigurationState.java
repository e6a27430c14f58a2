package org.nettlering.domain.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import org.nettlering.domain.configuration.ConfigurationOutcome.Accepted;
import org.nettlering.domain.configuration.ConfigurationOutcome.Rejected;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * The replicated configuration with its history.
 *
 * <p>Of any number of operations that expect one revision exactly one is accepted. An operation id gets its first answer
 * again; the same id with other content is refused. Operation ids are forgotten after
 * {@value #REMEMBERED_OPERATIONS} later ones: an accepted operation that is resent after that is refused, because its
 * expected revision has passed. Deterministic; thread-safe.
 */
public final class ConfigurationState {
    /** How many operation ids are remembered. */
    public static final int MAX_REMEMBERED_OPERATIONS = 20_000;

    /** How many revisions are kept for differences and explanations. */
    public static final int MAX_RETAINED_REVISIONS = 2_000;

    /** Guards the fields below. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The first answers by operation id, the oldest first. */
    private final LinkedHashMap<String, RememberedOperation> operations = new LinkedHashMap<>();

    /** The latest revisions without a gap, the oldest first. */
    private final Deque<RevisionRecord> history = new ArrayDeque<>();

    /** The current revision. */
    private SiteConfiguration current = SiteConfiguration.empty();

    /**
     * Creates the state before the first change.
     *
     * @return an empty state, never null
     */
    public static ConfigurationState create() {
        return new ConfigurationState();
    }

    private ConfigurationState() {}

    /**
     * Returns the current configuration.
     *
     * @return the current revision, never null
     */
    public SiteConfiguration current() {
        lock.lock();
        try {
            return current;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the record of a revision.
     *
     * @param revision the revision
     * @return the record, or empty if it is not kept, never null
     */
    public Optional<RevisionRecord> record(long revision) {
        lock.lock();
        try {
            return history.stream()
                    .filter(record -> record.revision() == revision)
                    .findFirst();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the kept revisions that edited a service.
     *
     * @param service the name of the service, not null
     * @return the records in order, the oldest first, never null
     */
    public List<RevisionRecord> revisionsOfService(String service) {
        lock.lock();
        try {
            return history.stream()
                    .filter(record -> record.changes().stream().anyMatch(change -> change.affectsService(service)))
                    .toList();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns what leads from an earlier revision to the current one.
     *
     * @param knownRevision the earlier revision
     * @return the records in order, empty optional if they are no longer all kept or the revision is in the future, never
     *     null
     */
    public Optional<List<RevisionRecord>> differencesSince(long knownRevision) {
        lock.lock();
        try {
            if (knownRevision == current.revision()) {
                return Optional.of(List.of());
            }
            RevisionRecord oldest = history.peekFirst();
            if (oldest == null || knownRevision > current.revision() || knownRevision < oldest.revision() - 1) {
                return Optional.empty();
            }
            List<RevisionRecord> differences = new ArrayList<>();
            Iterator<RevisionRecord> newestFirst = history.descendingIterator();
            while (newestFirst.hasNext()) {
                RevisionRecord record = newestFirst.next();
                if (record.revision() <= knownRevision) {
                    break;
                }
                differences.add(record);
            }
            return Optional.of(differences.reversed());
        } finally {
            lock.unlock();
        }
    }

    /**
     * Captures the state.
     *
     * @return an immutable copy, never null
     */
    public Snapshot snapshot() {
        lock.lock();
        try {
            return new Snapshot(current, List.copyOf(history), List.copyOf(operations.values()));
        } finally {
            lock.unlock();
        }
    }

    /**
     * Applies an operation, or repeats its first answer.
     *
     * @param operation the operation, not null
     * @return the outcome, never null
     */
    public ConfigurationOutcome apply(ConfigurationOperation operation) {
        lock.lock();
        try {
            RememberedOperation first = operations.get(operation.operationId());
            if (first != null) {
                return repeat(first, operation);
            }
            ConfigurationOutcome outcome = decide(operation);
            remember(new RememberedOperation(operation.operationId(), operation.contentDigest(), outcome));
            return outcome;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Replaces the state by a captured one.
     *
     * @param snapshot the captured state, not null
     */
    public void restore(Snapshot snapshot) {
        lock.lock();
        try {
            current = snapshot.configuration();
            history.clear();
            history.addAll(snapshot.history());
            operations.clear();
            snapshot.operations().forEach(operation -> operations.put(operation.operationId(), operation));
        } finally {
            lock.unlock();
        }
    }

    private ConfigurationOutcome repeat(RememberedOperation first, ConfigurationOperation operation) {
        if (first.contentDigest().equals(operation.contentDigest())) {
            return first.outcome();
        }
        return new Rejected(
                ErrorCode.OPERATION_REUSED,
                "operation \"" + operation.operationId() + "\" was used before with other content",
                current.revision());
    }

    private ConfigurationOutcome decide(ConfigurationOperation operation) {
        if (operation.expectedRevision() != current.revision()) {
            return new Rejected(
                    ErrorCode.REVISION_CONFLICT,
                    "operation \"" + operation.operationId() + "\" expects revision " + operation.expectedRevision()
                            + ", but the current revision is " + current.revision(),
                    current.revision());
        }
        try {
            current = current.withChanges(operation.changes());
        } catch (NettleringException exception) {
            return new Rejected(exception.code(), String.valueOf(exception.getMessage()), current.revision());
        }
        history.addLast(new RevisionRecord(
                current.revision(),
                operation.operationId(),
                operation.operatorName(),
                operation.time(),
                operation.changes()));
        if (history.size() > MAX_RETAINED_REVISIONS) {
            history.removeFirst();
        }
        return new Accepted(current.revision());
    }

    private void remember(RememberedOperation operation) {
        operations.put(operation.operationId(), operation);
        if (operations.size() > MAX_REMEMBERED_OPERATIONS) {
            operations.pollFirstEntry();
        }
    }

    /**
     * A captured state.
     *
     * @param configuration the current configuration, not null
     * @param history the kept revisions, the oldest first, not null
     * @param operations the remembered operations, the oldest first, not null
     */
    public record Snapshot(
            SiteConfiguration configuration, List<RevisionRecord> history, List<RememberedOperation> operations) {
        /** Copies the lists. */
        public Snapshot {
            history = List.copyOf(history);
            operations = List.copyOf(operations);
        }
    }
}
