package org.nettlering.domain.workflow.host;

import java.util.TreeMap;
import org.nettlering.domain.workflow.RunName;

/**
 * Which of a host's ends are in the log, so that the host may forget them.
 *
 * <p>Not thread-safe.
 */
final class EndLedger {
    /** The ends that are not in the log yet, by their number. */
    private final TreeMap<Long, RunName> open = new TreeMap<>();

    /** The highest number that was listed. */
    private long highest;

    /** The highest number that the host was allowed to forget. */
    private long told;

    void list(long number) {
        highest = Math.max(highest, number);
    }

    void open(long number, RunName run) {
        open.put(number, run);
    }

    void close(RunName run) {
        open.values().removeIf(run::equals);
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
