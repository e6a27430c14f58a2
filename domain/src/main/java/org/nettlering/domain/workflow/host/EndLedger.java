package org.nettlering.domain.workflow.host;

import java.util.TreeMap;
import org.nettlering.domain.workflow.RunEnd;
import org.nettlering.domain.workflow.RunName;
import org.nettlering.domain.workflow.host.HostAnswer.ListedEnd;

/**
 * Which of a host's ends are in the log, so that the host may forget them.
 *
 * <p>Not thread-safe.
 */
final class EndLedger {
    /** The ends that are not in the log yet, by their number. */
    private final TreeMap<Long, ListedEnd> open = new TreeMap<>();

    /** The highest number that was listed. */
    private long highest;

    /** The highest number that the host was allowed to forget. */
    private long told;

    void list(long number) {
        highest = Math.max(highest, number);
    }

    void open(ListedEnd end) {
        open.put(end.number(), end);
    }

    /** Notes that an end is in the log; one of another kind for the same run stays open. */
    void close(RunName run, RunEnd how) {
        open.values().removeIf(end -> end.run().equals(run) && end.how() == how);
    }

    /** Returns the number up to which every end is in the log. */
    long noted() {
        return open.isEmpty() ? highest : Math.min(highest, open.firstKey() - 1);
    }

    void tell(long number) {
        told = Math.max(told, number);
    }

    boolean hasNews() {
        return noted() > told;
    }

    boolean isWaiting() {
        return !open.isEmpty();
    }
}
