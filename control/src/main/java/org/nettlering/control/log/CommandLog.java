package org.nettlering.control.log;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.CommandProto.SiteResult;

/**
 * The replicated log as the services of the control process see it.
 *
 * <p>Implementations are thread-safe.
 */
public interface CommandLog {
    /**
     * Appends a command and waits until it was committed and applied here.
     *
     * <p>Fails with {@code NOT_LEADER} or {@code TOO_LARGE} when the command certainly was not appended, and with {@code OUTCOME_UNKNOWN} when
     * leadership was lost before the outcome was known.
     *
     * @param command the command, not null
     * @return what the state machine answered, never null
     */
    CompletionStage<SiteResult> propose(SiteCommand command);

    /**
     * Confirms that this member still leads and that its state includes everything acknowledged before the call.
     *
     * <p>Fails with {@code NOT_LEADER} otherwise.
     *
     * @return completes when a read of the state is linearizable, never null
     */
    CompletionStage<Void> confirmLeadership();

    /**
     * Tells whether this member believes to lead and has applied every entry of earlier terms.
     *
     * @return true when it is ready to make decisions
     */
    boolean isReadyLeader();

    /**
     * Tells whether this member has applied every entry of its own log, also those that it does not know to be committed.
     *
     * <p>A majority of members of which this holds have, together, applied everything that was acknowledged before they
     * were asked.
     *
     * @return true when its state leaves out no entry that it holds
     */
    boolean hasAppliedWholeLog();

    /**
     * Returns the term of the log.
     *
     * @return the current term, at least zero
     */
    long term();

    /**
     * Returns the id of the member that is believed to lead.
     *
     * @return the leader, or empty if none is known, never null
     */
    Optional<String> leaderId();
}
