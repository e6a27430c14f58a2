package org.nettlering.domain.workflow.host;

import org.nettlering.domain.workflow.host.HostResponse.RejectionReason;

/** The evidence that a run is over or was never started. Appears in log events. */
public sealed interface TerminationEvidence {
    /** The age of something that was never received. */
    long NEVER = -1;

    /** The host reported the termination. */
    record Listed() implements TerminationEvidence {}

    /** The first poll response of the term that lists all terminations omits a run that an earlier leader started. */
    record NeverListed() implements TerminationEvidence {}

    /** The host acknowledged a stop, and a later poll response omits the run. */
    record StoppedAndGone() implements TerminationEvidence {}

    /**
     * The host rejected the start command.
     *
     * @param reason the reason, not null
     */
    record StartRefused(RejectionReason reason) implements TerminationEvidence {}

    /** The host was unhealthy and did not execute the start command. */
    record HostUnwell() implements TerminationEvidence {}

    /**
     * The start command was never sent.
     *
     * @param stopWanted whether a stop of the run had been requested
     * @param silent whether the host did not respond to the last command or was unhealthy
     */
    record NotSent(boolean stopWanted, boolean silent) implements TerminationEvidence {}

    /** Another incarnation of the host responds at its address. */
    record OtherLife() implements TerminationEvidence {}

    /**
     * The host has started again under its id, and does not report the run.
     *
     * @param startMillis when it started, in milliseconds since 1970
     */
    record Reborn(long startMillis) implements TerminationEvidence {}

    /**
     * Every lease has certainly expired by the host's clock.
     *
     * @param clockMillis the time that the host's clock has certainly reached, in milliseconds
     * @param leaseUntilMillis the latest lease expiry by that clock, in milliseconds
     * @param readingAgeMillis the age of the clock reading that {@code clockMillis} is based on, in milliseconds
     * @param reportAgeMillis the age of the latest heartbeat, in milliseconds, or {@link #NEVER}
     * @param answerAgeMillis the age of the last response to a command, in milliseconds, or {@link #NEVER}
     */
    record LeaseLapsed(
            long clockMillis, long leaseUntilMillis, long readingAgeMillis, long reportAgeMillis, long answerAgeMillis)
            implements TerminationEvidence {}

    /**
     * No incarnation of the host responded, and none was heard of for longer than any lease granted to an earlier leader.
     *
     * @param followedMillis how long this leader had been tracking the host, in milliseconds
     * @param reportAgeMillis the age of the latest heartbeat, in milliseconds, or {@link #NEVER}
     */
    record NeverIdentified(long followedMillis, long reportAgeMillis) implements TerminationEvidence {}
}
