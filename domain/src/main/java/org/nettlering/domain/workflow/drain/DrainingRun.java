package org.nettlering.domain.workflow.drain;

import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.StepProgress;

/**
 * A run on a host that is to be emptied.
 *
 * <p>Immutable and thread-safe.
 *
 * @param run the run, not null
 * @param step the step that the run belongs to, not null
 * @param decision what happens to the run, not null
 * @param hostLeaves true if the host has announced its shutdown, false if its failure domain is evacuated
 */
public record DrainingRun(ActiveRun run, StepProgress step, DrainDecision decision, boolean hostLeaves) {}
