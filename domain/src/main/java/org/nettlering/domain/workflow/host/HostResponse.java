package org.nettlering.domain.workflow.host;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TerminalStatus;

/** The outcome of a command to a host. */
public sealed interface HostResponse {
    /**
     * The host executed the command.
     *
     * @param clockMillis the host's clock, in milliseconds
     * @param startMillis when the incarnation started, in milliseconds since 1970, or
     *     {@link HostIncarnation#UNKNOWN_START}
     */
    record Accepted(long clockMillis, long startMillis) implements HostResponse {
        /**
         * Creates the response of a host that does not tell when it started.
         *
         * @param clockMillis the host's clock, in milliseconds
         */
        public Accepted(long clockMillis) {
            this(clockMillis, HostIncarnation.UNKNOWN_START);
        }
    }

    /**
     * The active runs and the terminations that are not acknowledged yet.
     *
     * @param clockMillis the host's clock, in milliseconds
     * @param running the active runs, not null
     * @param terminations the unacknowledged terminations, in the order of their sequence numbers, not null
     * @param startMillis when the incarnation started, in milliseconds since 1970, or
     *     {@link HostIncarnation#UNKNOWN_START}
     */
    record PollResult(
            long clockMillis, List<ReportedRun> running, List<ReportedTermination> terminations, long startMillis)
            implements HostResponse {
        /**
         * Creates the result of a host that does not tell when it started.
         *
         * @param clockMillis the host's clock, in milliseconds
         * @param running the active runs, not null
         * @param terminations the unacknowledged terminations, not null
         */
        public PollResult(long clockMillis, List<ReportedRun> running, List<ReportedTermination> terminations) {
            this(clockMillis, running, terminations, HostIncarnation.UNKNOWN_START);
        }

        /** Copies the lists. */
        public PollResult {
            running = List.copyOf(running);
            terminations = List.copyOf(terminations);
        }

        /**
         * Returns the runs that the host reports as active or terminated.
         *
         * @return a new set, never null
         */
        public Set<RunId> reportedRuns() {
            Set<RunId> reported = new HashSet<>();
            running.forEach(run -> reported.add(run.run()));
            terminations.forEach(termination -> reported.add(termination.run()));
            return reported;
        }
    }

    /**
     * The host rejected the command and did not execute it.
     *
     * @param reason the reason, not null
     */
    record Rejected(RejectionReason reason) implements HostResponse {}

    /** The host is unhealthy and did not execute the command. */
    record Unhealthy() implements HostResponse {}

    /** Another incarnation of the host responds at the address; the one addressed by the command has terminated. */
    record OtherIncarnation() implements HostResponse {}

    /**
     * The host did not respond; it may have executed the command, or may do so later.
     *
     * @param problem the cause, for logging, not null
     */
    record NoResponse(String problem) implements HostResponse {}

    /**
     * The command was certainly not sent because no connection could be established.
     *
     * @param problem the cause, for logging, not null
     */
    record NotSent(String problem) implements HostResponse {}

    /** Why a host rejected a command. */
    enum RejectionReason {
        /** The host has seen a higher fencing token. */
        FENCED,
        /** This run or a later run of the task was already stopped or has terminated on the host. */
        OLD,
        /** The lease had expired when the command arrived. */
        LATE,
        /** The free capacity of the host does not suffice. */
        NO_ROOM,
        /** The admission ticket is missing or no longer valid. */
        NO_TICKET,
        /** The host could not parse the command. */
        MALFORMED
    }

    /**
     * An active run.
     *
     * @param run the run, not null
     * @param checkpoint its latest checkpoint, empty if none, not null
     * @param progressPercent its progress; for a long-running task, 100 while it is running
     * @param load its tail latency in milliseconds if it is latency-critical, else the millicores in use
     */
    record ReportedRun(RunId run, String checkpoint, int progressPercent, long load) {}

    /**
     * A termination of a run.
     *
     * @param sequence the sequence number of the termination, which increases within one host incarnation
     * @param run the run, not null
     * @param status the terminal status, not null
     * @param checkpoint its latest checkpoint, empty if none, not null
     */
    record ReportedTermination(long sequence, RunId run, TerminalStatus status, String checkpoint) {}
}
