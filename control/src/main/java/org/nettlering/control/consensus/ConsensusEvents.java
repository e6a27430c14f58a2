package org.nettlering.control.consensus;

import org.nettlering.consensus.ConsensusListener;
import org.nettlering.runtime.log.EventLogger;

/** Writes what happens in the replicated log to the log. Thread-safe. */
public final class ConsensusEvents implements ConsensusListener {
    /** Where the events go. */
    private final EventLogger logger = EventLogger.of(ConsensusEvents.class);

    /** Runs when the member has stopped for good. */
    private final Runnable onMemberFailed;

    /**
     * Creates a listener that logs.
     *
     * @return the listener, never null
     */
    public static ConsensusEvents logging() {
        return new ConsensusEvents(() -> {});
    }

    /**
     * Creates a listener that logs, and tells when the member has stopped for good.
     *
     * @param onMemberFailed runs after the failure was logged; the process has no use any more, not null
     * @return the listener, never null
     */
    public static ConsensusEvents logging(Runnable onMemberFailed) {
        return new ConsensusEvents(onMemberFailed);
    }

    private ConsensusEvents(Runnable onMemberFailed) {
        this.onMemberFailed = onMemberFailed;
    }

    @Override
    public void onEvent(Event happening) {
        switch (happening) {
            case LeadershipGained gained -> logger.log(ConsensusEvent.LEADERSHIP_GAINED, gained.term());
            case LeadershipLost lost -> logger.log(ConsensusEvent.LEADERSHIP_LOST, lost.term(), lost.reason());
            case LeaderChanged changed -> logger.log(ConsensusEvent.LEADER_CHANGED, changed.term(), changed.leader());
            case ElectionStarted started -> logger.log(ConsensusEvent.ELECTION_STARTED, started.term());
            case MembershipChanged changed ->
                logger.log(ConsensusEvent.MEMBERSHIP_CHANGED, changed.index(), changed.membership());
            case DiskReplaced replaced -> logger.log(ConsensusEvent.DISK_REPLACED, replaced.member());
            case SnapshotSaved saved -> logger.log(ConsensusEvent.SNAPSHOT_SAVED, saved.index(), saved.sizeBytes());
            case SnapshotInstalled installed ->
                logger.log(ConsensusEvent.SNAPSHOT_INSTALLED, installed.index(), installed.sizeBytes());
            case CommandFailed failed -> logger.log(ConsensusEvent.COMMAND_FAILED, failed.index(), failed.failure());
            case WritesRefused refused ->
                logger.log(
                        ConsensusEvent.WRITES_REFUSED,
                        String.valueOf(refused.refusal().getMessage()));
            case EffectFailed failed ->
                logger.log(ConsensusEvent.EFFECT_FAILED, String.valueOf(failed.failure()), failed.failure());
            case MemberFailed failed -> endAfterFailure(failed.failure());
        }
    }

    /** Logs the failure and tells the process, also when the failure leaves too little room to log. */
    private void endAfterFailure(Throwable failure) {
        try {
            logger.log(ConsensusEvent.MEMBER_FAILED, String.valueOf(failure.getMessage()), failure);
        } finally {
            onMemberFailed.run();
        }
    }
}
