package org.nettlering.benchmarks.routing;

import java.util.HashSet;
import java.util.Set;
import org.nettlering.domain.retry.AttemptHistory;
import org.nettlering.domain.upstream.UpstreamAddress;

/** One request in the model. */
final class ModelRequest {
    /** When it arrived. */
    private final long arrivedNanos;

    /** Whether its service runs under the urgent profile. */
    private final boolean urgent;

    /** How long it runs, as a multiple of the mean. */
    private final double work;

    /** The upstreams that were tried. */
    private final Set<UpstreamAddress> tried = new HashSet<>();

    /** The attempts so far. */
    private AttemptHistory history = AttemptHistory.empty();

    /** Attempts that have neither answered nor failed. */
    private int live;

    /** True while it waits for a slot. */
    private boolean waits;

    /** True once it has its end. */
    private boolean ended;

    ModelRequest(long arrivedNanos, boolean urgent, double work) {
        this.work = work;
        this.arrivedNanos = arrivedNanos;
        this.urgent = urgent;
    }

    long arrivedNanos() {
        return arrivedNanos;
    }

    long deadlineNanos() {
        return arrivedNanos + ModelSettings.DEADLINE.toNanos();
    }

    double work() {
        return work;
    }

    boolean isUrgent() {
        return urgent;
    }

    Set<UpstreamAddress> tried() {
        return tried;
    }

    AttemptHistory history() {
        return history;
    }

    void setHistory(AttemptHistory newHistory) {
        history = newHistory;
    }

    int live() {
        return live;
    }

    void addLive(int change) {
        live += change;
    }

    boolean isWaiting() {
        return waits;
    }

    void setWaiting(boolean isWaiting) {
        waits = isWaiting;
    }

    boolean isEnded() {
        return ended;
    }

    void end() {
        ended = true;
    }
}
