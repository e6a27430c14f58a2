package org.nettlering.domain.workflow.placement;

import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.StepProgress;

/**
 * A best-effort run that is throttled to protect latency-critical runs on its host.
 *
 * <p>Immutable and thread-safe.
 *
 * @param run the run, not null
 * @param step the step that the run belongs to, not null
 */
public record ThrottledRun(ActiveRun run, StepProgress step) {}
