package org.nettlering.domain.workflow.host;

import java.util.List;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TerminalStatus;

/** What came of an order. */
public sealed interface HostResponse {
    /**
     * The order was carried out.
     *
     * @param clockMillis the host's clock, in milliseconds
     */
    record Accepted(long clockMillis) implements HostResponse {}

    /**
     * What runs and what has ended.
     *
     * @param clockMillis the host's clock, in milliseconds
     * @param running what runs, not null
     * @param terminations the ends that the host was not allowed to forget yet, in the order of their numbers, not null
     */
    record PollResult(long clockMillis, List<ReportedRun> running, List<ReportedTermination> terminations)
            implements HostResponse {
        /** Copies the lists. */
        public PollResult {
            running = List.copyOf(running);
            terminations = List.copyOf(terminations);
        }
    }

    /**
     * The order was refused and not carried out.
     *
     * @param reason why, not null
     */
    record Rejected(RejectionReason reason) implements HostResponse {}

    /** The host is not well, and has done nothing. */
    record Unhealthy() implements HostResponse {}

    /** Another life of the host answers at the address; the one that the order was meant for has ended. */
    record OtherIncarnation() implements HostResponse {}

    /**
     * There was no answer; the order may have been carried out, or may be later.
     *
     * @param problem what happened instead, for the log, not null
     */
    record NoResponse(String problem) implements HostResponse {}

    /**
     * The order certainly was not sent: no connection could be had.
     *
     * @param problem what stood in the way, for the log, not null
     */
    record NotSent(String problem) implements HostResponse {}

    /** Why a host refused an order. */
    enum RejectionReason {
        /** A higher fencing token was seen. */
        FENCED,
        /** The run, or a later one, was stopped or has ended there. */
        OLD,
        /** The lease had ended when the order came. */
        LATE,
        /** There is no room. */
        NO_ROOM,
        /** The ticket is missing or no longer valid. */
        NO_TICKET,
        /** The host could not read the order. */
        MALFORMED
    }

    /**
     * A run at work.
     *
     * @param run the run, not null
     * @param checkpoint its newest saved progress, empty if none, not null
     * @param progressPercent how far it is; for a task that lasts, 100 while it is at work
     * @param load the tail of its response times in milliseconds if it serves, else the millicores in use
     */
    record ReportedRun(RunId run, String checkpoint, int progressPercent, long load) {}

    /**
     * A run that has ended.
     *
     * @param sequence the number of the end, which rises within one life of the host
     * @param run the run, not null
     * @param status how it ended, not null
     * @param checkpoint its newest saved progress, empty if none, not null
     */
    record ReportedTermination(long sequence, RunId run, TerminalStatus status, String checkpoint) {}
}
