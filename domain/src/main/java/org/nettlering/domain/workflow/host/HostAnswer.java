package org.nettlering.domain.workflow.host;

import java.util.List;
import org.nettlering.domain.workflow.RunEnd;
import org.nettlering.domain.workflow.RunName;

/** What came of an order. */
public sealed interface HostAnswer {
    /**
     * The order was carried out.
     *
     * @param clockMillis the host's clock, in milliseconds
     */
    record Accepted(long clockMillis) implements HostAnswer {}

    /**
     * What runs and what has ended.
     *
     * @param clockMillis the host's clock, in milliseconds
     * @param running what runs, not null
     * @param ended the ends that the host was not allowed to forget yet, in the order of their numbers, not null
     */
    record Listing(long clockMillis, List<ListedRun> running, List<ListedEnd> ended) implements HostAnswer {
        /** Copies the lists. */
        public Listing {
            running = List.copyOf(running);
            ended = List.copyOf(ended);
        }
    }

    /**
     * The order was refused and not carried out.
     *
     * @param reason why, not null
     */
    record Refused(RefusalReason reason) implements HostAnswer {}

    /** The host is not well, and has done nothing. */
    record Unwell() implements HostAnswer {}

    /** Another life of the host answers at the address; the one that the order was meant for has ended. */
    record OtherLife() implements HostAnswer {}

    /**
     * There was no answer; the order may have been carried out, or may be later.
     *
     * @param problem what happened instead, for the log, not null
     */
    record Silent(String problem) implements HostAnswer {}

    /**
     * The order certainly was not sent: no connection could be had.
     *
     * @param problem what stood in the way, for the log, not null
     */
    record Unsent(String problem) implements HostAnswer {}

    /** Why a host refused an order. */
    enum RefusalReason {
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
     * @param percent how far it is; for a task that lasts, 100 while it is at work
     * @param load the tail of its response times in milliseconds if it serves, else the millicores in use
     */
    record ListedRun(RunName run, String checkpoint, int percent, long load) {}

    /**
     * A run that has ended.
     *
     * @param number the number of the end, which rises within one life of the host
     * @param run the run, not null
     * @param how how it ended, not null
     * @param checkpoint its newest saved progress, empty if none, not null
     */
    record ListedEnd(long number, RunName run, RunEnd how, String checkpoint) {}
}
