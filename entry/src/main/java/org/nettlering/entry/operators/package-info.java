/**
 * Operators' HTTP and workers' reports at an entry, forwarded to the control leader.
 *
 * <p>{@link org.nettlering.entry.operators.OperatorServer} serves the operators' port; {@link
 * org.nettlering.entry.operators.WorkerReportRoutes} adds the reports to the platform port. Nothing is kept here: every
 * answer is the control leader's.
 */
@NullMarked
package org.nettlering.entry.operators;

import org.jspecify.annotations.NullMarked;
