/**
 * HTTP requests of operators and reports of workers, forwarded to the control leader.
 *
 * <p>{@link org.nettlering.entry.operators.OperatorServer} serves the operators' port; {@link
 * org.nettlering.entry.operators.WorkerReportRoutes} adds the reports to the platform port. The package holds no state:
 * responses on configuration, jobs, workers and members come from the control leader.
 */
@NullMarked
package org.nettlering.entry.operators;

import org.jspecify.annotations.NullMarked;
