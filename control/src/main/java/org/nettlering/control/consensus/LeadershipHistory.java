package org.nettlering.control.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import org.nettlering.consensus.ConsensusListener;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.wire.proto.MembershipProto.LeaderChange;

/**
 * What this member saw of elections and changes of leader, the latest {@value #KEPT_CHANGES}.
 *
 * <p>For explanations. Kept in memory: a member that restarts begins anew, and a member that was cut off knows only what it
 * saw itself. Passes everything on to another listener. Thread-safe.
 */
public final class LeadershipHistory implements ConsensusListener {
    /** How many changes are kept. */
    public static final int KEPT_CHANGES = 100;

    /** Guards the changes. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The latest changes, the oldest first. */
    private final Deque<LeaderChange> changes = new ArrayDeque<>();

    /** Stamps the changes. */
    private final TimeSource time;

    /** Hears everything too. */
    private final ConsensusListener next;

    /**
     * Creates an empty history.
     *
     * @param time the clock that stamps changes, not null
     * @param next hears everything after it was recorded, not null
     * @return a new history, never null
     */
    public static LeadershipHistory of(TimeSource time, ConsensusListener next) {
        return new LeadershipHistory(time, next);
    }

    private LeadershipHistory(TimeSource time, ConsensusListener next) {
        this.time = time;
        this.next = next;
    }

    /**
     * Returns the changes that are kept.
     *
     * @return the changes, the oldest first, never null
     */
    public List<LeaderChange> changes() {
        lock.lock();
        try {
            return List.copyOf(changes);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void onEvent(Event happening) {
        describe(happening).ifPresent(this::keep);
        next.onEvent(happening);
    }

    private static Optional<LeaderChange.Builder> describe(Event happening) {
        return switch (happening) {
            case ElectionStarted started ->
                Optional.of(change(started.term(), "this member stood for election")
                        .setReason("no leader was heard within the election timeout, or the leader handed over"));
            case LeadershipGained gained ->
                Optional.of(change(gained.term(), "this member leads")
                        .setReason("a majority of the voting members granted its vote"));
            case LeadershipLost lost ->
                Optional.of(change(lost.term(), "this member stopped leading").setReason(lost.reason()));
            case LeaderChanged changed ->
                Optional.of(change(changed.term(), "leader known")
                        .setLeaderId(changed.leader().value())
                        .setReason("it sent entries or a heartbeat of this term"));
            case MembershipChanged ignored -> Optional.empty();
            case DiskReplaced ignored -> Optional.empty();
            case SnapshotSaved ignored -> Optional.empty();
            case SnapshotInstalled ignored -> Optional.empty();
            case CommandFailed ignored -> Optional.empty();
            case WritesRefused ignored -> Optional.empty();
            case EffectFailed ignored -> Optional.empty();
            case MemberFailed ignored -> Optional.empty();
        };
    }

    private static LeaderChange.Builder change(long term, String what) {
        return LeaderChange.newBuilder().setTerm(term).setWhat(what);
    }

    private void keep(LeaderChange.Builder change) {
        LeaderChange stamped =
                change.setTimeUnixMillis(time.instant().toEpochMilli()).build();
        lock.lock();
        try {
            changes.addLast(stamped);
            if (changes.size() > KEPT_CHANGES) {
                changes.removeFirst();
            }
        } finally {
            lock.unlock();
        }
    }
}
