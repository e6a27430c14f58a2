package org.nettlering.domain.workflow.copy;

import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.StepProgress;

/**
 * A run that is far behind its siblings.
 *
 * <p>Immutable and thread-safe.
 *
 * @param run the run, not null
 * @param step the step that the run belongs to, not null
 */
public record StragglingRun(ActiveRun run, StepProgress step) {}
