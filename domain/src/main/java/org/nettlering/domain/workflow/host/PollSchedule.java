package org.nettlering.domain.workflow.host;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * When one host is polled, and how long it may delay its response.
 *
 * <p>At most one poll is in flight, unless an earlier one is overdue. A host that does not respond is polled at a fixed
 * interval without waiting. Not thread-safe.
 */
final class PollSchedule {
    /** How long the host may delay the response to a poll until a run terminates. */
    private static final Duration WAIT = Duration.ofSeconds(1);

    /** The same while usage is monitored; shorter so that usage is reported more often. */
    private static final Duration MONITORED_WAIT = Duration.ofMillis(450);

    /** The delay before the next poll of a host that did not respond or was unhealthy. */
    private static final Duration UNRESPONSIVE_DELAY = Duration.ofMillis(300);

    /** The minimum time between two polls; one that waits for a termination usually takes longer anyway. */
    private static final Duration MIN_INTERVAL = Duration.ofMillis(25);

    /** The minimum time between a poll that does not wait and the next one. */
    private static final Duration MIN_IMMEDIATE_INTERVAL = Duration.ofMillis(100);

    /**
     * How long after the last poll the next one waits for reported terminations to be committed, so that it can acknowledge
     * them. It does not wait longer, because polls renew the lease of all runs on the host.
     */
    private static final Duration MAX_COMMIT_WAIT = WAIT;

    /** Whether the host responded to a poll since the state of its runs was last unknown. */
    private boolean succeeded;

    /** Whether a response is awaited that {@link #requireNew} asked for. */
    private boolean newRequired;

    /** Responses to polls that were sent before this monotonic time do not count. */
    private long requiredNanos;

    private boolean inFlight;

    /** The latest poll that was sent, or null if none was. */
    private HostCommand.@Nullable Poll latestPoll;

    /** The polls without an outcome that are not awaited any more. */
    private final List<HostCommand.Poll> abandonedPolls = new ArrayList<>();

    /** Whether the last poll got no response or the host was too unhealthy to handle it. */
    private boolean unanswered;

    /** When the last poll was sent, by the monotonic clock. */
    private long lastNanos;

    /** The earliest monotonic time of the next poll. */
    private long nextNanos;

    private boolean usageMonitored;

    /** Creates a schedule whose first poll is due at the given monotonic time. */
    PollSchedule(long nowNanos) {
        nextNanos = nowNanos;
        requiredNanos = nowNanos;
    }

    /** Returns whether the host responded to a poll since {@link #requireNew} was called. */
    boolean hasSucceeded() {
        return succeeded;
    }

    /** Returns whether a response is awaited that {@link #requireNew} asked for. */
    boolean isNewRequired() {
        return newRequired;
    }

    boolean isInFlight() {
        return inFlight;
    }

    /** Returns whether the last poll got no response or the host was too unhealthy to handle it. */
    boolean isUnanswered() {
        return unanswered;
    }

    /** Returns the earliest monotonic time of the next poll, regardless of commits. */
    long nextNanos() {
        return nextNanos;
    }

    /** Returns the earliest monotonic time of the next poll, which may wait for terminations to be committed. */
    long nextNanos(boolean awaitsCommit) {
        long afterCommitWaitNanos = lastNanos + MAX_COMMIT_WAIT.toNanos();
        return awaitsCommit && afterCommitWaitNanos - nextNanos > 0 ? afterCommitWaitNanos : nextNanos;
    }

    void setUsageMonitored(boolean enabled) {
        usageMonitored = enabled;
    }

    /**
     * Forgets the responses so far, also those to polls that were sent before, and has the host polled at once. The poll in flight is not
     * awaited: it was sent to an incarnation that may have ended, and may get no response.
     */
    void requireNew(long nowNanos) {
        succeeded = false;
        newRequired = true;
        requiredNanos = nowNanos;
        nextNanos = nowNanos;
        if (inFlight && latestPoll != null) {
            abandonedPolls.add(latestPoll);
        }
        inFlight = false;
    }

    /** Has the host polled at once. */
    void hasten(long nowNanos) {
        nextNanos = nowNanos;
    }

    /** Treats a poll as sent and returns how long the host may delay its response. */
    Duration send(boolean immediate, long nowNanos) {
        inFlight = true;
        lastNanos = nowNanos;
        if (immediate) {
            return Duration.ZERO;
        }
        return usageMonitored ? MONITORED_WAIT : WAIT;
    }

    /** Records which poll was sent. */
    void sent(HostCommand.Poll poll) {
        latestPoll = poll;
    }

    /** Records the outcome of a poll; after an overdue one, another may be in flight. Returns whether it was abandoned. */
    boolean recordOutcome(HostCommand.Poll poll, boolean awaited) {
        boolean abandoned = removeAbandoned(poll);
        inFlight &= abandoned || !awaited;
        return abandoned;
    }

    /** Compares by identity: two polls with the same content may be in flight. */
    @SuppressWarnings("ReferenceEquality")
    private boolean removeAbandoned(HostCommand.Poll poll) {
        return abandonedPolls.removeIf(abandoned -> abandoned == poll);
    }

    /** Records that a poll got no usable response. */
    void recordFailure(boolean hostUnresponsive, long nowNanos) {
        unanswered = hostUnresponsive;
        nextNanos = nowNanos + UNRESPONSIVE_DELAY.toNanos();
    }

    /** Records that a poll got a response that says nothing of the incarnation that runs. */
    void recordOutdated(long nowNanos) {
        nextNanos = Math.max(nextNanos, nowNanos + MIN_INTERVAL.toNanos());
    }

    /**
     * Records the response to a poll.
     *
     * @param waited whether the host was allowed to delay it
     * @param current whether the poll carried the token in use, so that the host ignores lower ones
     * @param sentNanos when the poll was sent, by the monotonic clock
     * @param nowNanos the monotonic time
     */
    void recordResponse(boolean waited, boolean current, long sentNanos, long nowNanos) {
        unanswered = false;
        if (current && sentNanos - requiredNanos >= 0) {
            succeeded = true;
            newRequired = false;
        }
        Duration interval = waited ? MIN_INTERVAL : MIN_IMMEDIATE_INTERVAL;
        nextNanos = Math.max(nowNanos, sentNanos + interval.toNanos());
    }
}
