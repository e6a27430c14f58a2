package org.nettlering.domain.workflow.placement;

import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.drain.DrainingRun;

/**
 * The runs that may be stopped so that their tasks run on other hosts.
 *
 * @param throttled the throttled runs, not null
 * @param draining the runs that move away from hosts that are to be emptied, not null
 * @param atWork returns whether a run is known to be at work, not null
 */
public record RelocationCandidates(
        Collection<ThrottledRun> throttled, Collection<DrainingRun> draining, Predicate<ActiveRun> atWork) {
    /** No run may be stopped. */
    public static final RelocationCandidates NONE = ofThrottled(List.of());

    /** Copies the lists. */
    public RelocationCandidates {
        throttled = List.copyOf(throttled);
        draining = List.copyOf(draining);
    }

    /**
     * Returns candidates of which none is on a host that is to be emptied.
     *
     * @param throttled the throttled runs, not null
     * @return the candidates, never null
     */
    public static RelocationCandidates ofThrottled(Collection<ThrottledRun> throttled) {
        return new RelocationCandidates(throttled, List.of(), run -> false);
    }

    /**
     * Returns whether there is no candidate.
     *
     * @return true if nothing can be relocated
     */
    public boolean isEmpty() {
        return throttled.isEmpty() && draining.isEmpty();
    }
}
