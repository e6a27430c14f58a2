package org.nettlering.domain.workflow.placement;

import java.util.Collection;
import java.util.List;
import org.nettlering.domain.workflow.copy.StragglingRun;

/**
 * The runs that may be copied.
 *
 * <p>Immutable and thread-safe.
 *
 * @param stragglers the straggling runs, not null
 * @param copiedMillicores the processors that present copies hold, in millicores
 */
public record CopyCandidates(Collection<StragglingRun> stragglers, long copiedMillicores) {
    /** No run may be copied. */
    public static final CopyCandidates NONE = new CopyCandidates(List.of(), 0);

    /** Copies the list. */
    public CopyCandidates {
        stragglers = List.copyOf(stragglers);
    }
}
