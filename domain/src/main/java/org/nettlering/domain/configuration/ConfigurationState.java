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
import org.nettlering.domain.configuration.ConfigurationOutcome.Refused;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * The replicated configuration with its history.
 *
 * <ul>
 *   <li>Of several valid operations that expect the current revision, exactly one is accepted.
 *   <li>A resent operation gets the outcome of the first one with its id; the same id with different content is rejected.
 *   <li>An operation id is discarded after {@value #REMEMBERED_OPERATIONS} later ones. An accepted operation that is resent
 *       after that is rejected, because its expected revision is no longer current.
 * </ul>
 *
 * <p>Deterministic; thread-safe.
 */
public final class ConfigurationState {
    /** The maximum number of operation ids that are remembered. */
    public static final int REMEMBERED_OPERATIONS = 20_000;

    /** The maximum number of revisions that are retained for differences and explanations. */
    public static final int KEPT_REVISIONS = 2_000;

    /** Guards the fields below. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The outcomes by operation id, oldest first. */
    private final LinkedHashMap<String, RememberedOperation> operations = new LinkedHashMap<>();

    /** The latest revisions without gaps, oldest first. */
    private final Deque<RevisionRecord> history = new ArrayDeque<>();

    private SiteConfiguration current = SiteConfiguration.empty();

    /**
     * Creates an empty state at revision zero.
     *
     * @return the state, never null
     */
    public static ConfigurationState create() {
        return new ConfigurationState();
    }

    private ConfigurationState() {}

    /**
     * Returns the current configuration.
     *
     * @return the configuration, never null
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
     * @return the record, or empty if it is not retained, never null
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
     * Returns the retained revisions that changed a service.
     *
     * @param service the name of the service, not null
     * @return the records, oldest first, never null
     */
    public List<RevisionRecord> recordsAboutService(String service) {
        lock.lock();
        try {
            return history.stream()
                    .filter(record -> record.changes().stream().anyMatch(change -> change.isAboutService(service)))
                    .toList();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the revisions after a known one, up to the current one.
     *
     * @param knownRevision the known revision
     * @return the records, oldest first, or an empty optional if not all of them are retained any more or if
     *     {@code knownRevision} is higher than the current revision, never null
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
     * Captures a snapshot of the state.
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
     * Applies an operation, or returns the first outcome of an operation that was applied before.
     *
     * @param operation the operation, not null
     * @return the outcome, never null
     */
    public ConfigurationOutcome apply(ConfigurationOperation operation) {
        lock.lock();
        try {
            RememberedOperation first = operations.get(operation.operationId());
            if (first != null) {
                return repeatOutcome(first, operation);
            }
            ConfigurationOutcome outcome = applyNewOperation(operation);
            remember(new RememberedOperation(operation.operationId(), operation.contentDigest(), outcome));
            return outcome;
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
            current = snapshot.configuration();
            history.clear();
            history.addAll(snapshot.history());
            operations.clear();
            snapshot.operations().forEach(operation -> operations.put(operation.operationId(), operation));
        } finally {
            lock.unlock();
        }
    }

    private ConfigurationOutcome repeatOutcome(RememberedOperation first, ConfigurationOperation operation) {
        if (first.contentDigest().equals(operation.contentDigest())) {
            return first.outcome();
        }
        return new Refused(
                ErrorCode.OPERATION_REUSED,
                "operation \"" + operation.operationId() + "\" was used before with other content",
                current.revision());
    }

    private ConfigurationOutcome applyNewOperation(ConfigurationOperation operation) {
        if (operation.expectedRevision() != current.revision()) {
            return new Refused(
                    ErrorCode.REVISION_CONFLICT,
                    "operation \"" + operation.operationId() + "\" expects revision " + operation.expectedRevision()
                            + ", but the current revision is " + current.revision(),
                    current.revision());
        }
        try {
            current = current.plusChanges(operation.changes());
        } catch (NettleringException exception) {
            return new Refused(exception.code(), String.valueOf(exception.getMessage()), current.revision());
        }
        history.addLast(new RevisionRecord(
                current.revision(),
                operation.operationId(),
                operation.operatorName(),
                operation.time(),
                operation.changes()));
        if (history.size() > KEPT_REVISIONS) {
            history.removeFirst();
        }
        return new Accepted(current.revision());
    }

    private void remember(RememberedOperation operation) {
        operations.put(operation.operationId(), operation);
        if (operations.size() > REMEMBERED_OPERATIONS) {
            operations.pollFirstEntry();
        }
    }

    /**
     * A snapshot of the state. Immutable.
     *
     * @param configuration the current configuration, not null
     * @param history the retained revisions, oldest first, not null
     * @param operations the remembered operations, oldest first, not null
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
