package org.nettlering.domain.workflow.host;

import org.nettlering.domain.workflow.host.HostResponse.RejectionReason;

/** What showed that a run is over, or never began. For logs; decides nothing. */
public sealed interface TerminationEvidence {
    /** Stands for the age of what never came. */
    long NEVER = -1;

    /** The host listed the end. */
    record Listed() implements TerminationEvidence {}

    /** The first look of the term shows nothing of a run that an earlier leader started. */
    record NeverListed() implements TerminationEvidence {}

    /** The host answered a stop, and a later look shows nothing of the run. */
    record StoppedAndGone() implements TerminationEvidence {}

    /**
     * The host refused the start.
     *
     * @param reason why, not null
     */
    record StartRefused(RejectionReason reason) implements TerminationEvidence {}

    /** The host was not well and did nothing with the start. */
    record HostUnwell() implements TerminationEvidence {}

    /**
     * The start's order was never sent.
     *
     * @param stopWanted whether the run was to be stopped by then
     * @param silent whether the host left the last order unanswered
     */
    record NotSent(boolean stopWanted, boolean silent) implements TerminationEvidence {}

    /** Another life of the host answers at its address. */
    record OtherLife() implements TerminationEvidence {}

    /** The host had said that it leaves, and the time that it goes on after that is over. */
    record HostLeft() implements TerminationEvidence {}

    /**
     * Every lease has certainly ended by the host's clock.
     *
     * @param clockMillis what the host's clock shows at least, in milliseconds
     * @param leaseUntilMillis the end of the last lease by that clock, in milliseconds
     * @param readingAgeMillis the age of the reading of the clock that this rests on, in milliseconds
     * @param reportAgeMillis the age of the last report, in milliseconds, or {@link #NEVER}
     * @param answerAgeMillis the age of the last answer to an order, in milliseconds, or {@link #NEVER}
     */
    record LeaseLapsed(
            long clockMillis, long leaseUntilMillis, long readingAgeMillis, long reportAgeMillis, long answerAgeMillis)
            implements TerminationEvidence {}

    /**
     * The host was not heard of for longer than any lease of an earlier leader lasts.
     *
     * @param followedMillis how long this leader had followed it, in milliseconds
     */
    record NeverHeardOf(long followedMillis) implements TerminationEvidence {}
}
