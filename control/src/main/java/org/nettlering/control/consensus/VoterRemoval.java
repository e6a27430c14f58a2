package org.nettlering.control.consensus;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.nettlering.consensus.ConsensusNode;
import org.nettlering.consensus.ConsensusStatus;
import org.nettlering.consensus.MemberId;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.runtime.log.EventLogger;

/**
 * Removes voters that have been unreachable for long from the group, one at a time, while this member leads.
 *
 * <p>A removal takes effect only if a quorum of the remaining voters responds, so a leader that is cut off removes nobody. A
 * check that is late is left out: while this process stood still it heard nobody, which says nothing about the others.
 * Thread-safe.
 */
public final class VoterRemoval implements AutoCloseable {
    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(1);

    /** The delay of a check beyond which this process stood still. */
    private static final Duration STANDSTILL = Duration.ofMillis(500);

    private static final EventLogger LOG = EventLogger.of(VoterRemoval.class);

    private final ConsensusNode node;

    private final UnreachableVoters unreachableVoters;

    private final TimeSource time;

    private volatile TimeSource.@Nullable Timer timer;

    private volatile boolean closed;

    /** When the next check is due, by the monotonic clock. */
    private volatile long dueNanos;

    /**
     * Starts checking.
     *
     * @param node the member of this process, not null
     * @param toleratedLosses the number of disks that may be lost at once, at least zero
     * @param time sets the timers, not null
     * @return the running checks, never null
     */
    public static VoterRemoval start(ConsensusNode node, int toleratedLosses, TimeSource time) {
        VoterRemoval removal = new VoterRemoval(node, UnreachableVoters.bearing(toleratedLosses), time);
        removal.scheduleNext();
        return removal;
    }

    private VoterRemoval(ConsensusNode node, UnreachableVoters unreachableVoters, TimeSource time) {
        this.node = node;
        this.unreachableVoters = unreachableVoters;
        this.time = time;
    }

    private void scheduleNext() {
        if (!closed) {
            dueNanos = time.nanoTime() + CHECK_INTERVAL.toNanos();
            timer = time.schedule(CHECK_INTERVAL, this::check);
        }
    }

    private void check() {
        boolean stoodStill = time.nanoTime() - dueNanos >= STANDSTILL.toNanos();
        try {
            if (!stoodStill) {
                node.status().ifPresent(this::removeUnreachable);
            }
        } finally {
            scheduleNext();
        }
    }

    private void removeUnreachable(ConsensusStatus status) {
        unreachableVoters
                .findRemovable(status)
                .ifPresent(voter -> remove(voter, unreachableVoters.removalDelay(status)));
    }

    /** Starts the removal; until it is committed or refused, further ones are refused. */
    private void remove(MemberId voter, Duration removalDelay) {
        LOG.log(ConsensusEvent.VOTER_REMOVED, voter, removalDelay.toMillis());
        var _ = node.removeMember(voter).whenComplete((removed, failure) -> {
            if (failure != null) {
                LOG.log(ConsensusEvent.VOTER_KEPT, voter, String.valueOf(failure.getMessage()));
            }
        });
    }

    /** Ends the checks. */
    @Override
    public void close() {
        closed = true;
        TimeSource.Timer pending = timer;
        if (pending != null) {
            pending.cancel();
        }
    }
}
