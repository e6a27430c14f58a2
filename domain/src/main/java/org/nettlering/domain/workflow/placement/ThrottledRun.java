package org.nettlering.domain.workflow.placement;

import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.StepProgress;

/**
 * A run that fills and was slowed down for the sake of what serves beside it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param run the run, not null
 * @param step the step of its task, not null
 */
public record ThrottledRun(ActiveRun run, StepProgress step) {}
