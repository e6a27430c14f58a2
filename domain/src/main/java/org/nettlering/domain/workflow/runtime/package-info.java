/** Run times of tasks, learned from the runs that have ended. */
@NullMarked
package org.nettlering.domain.workflow.runtime;

import org.jspecify.annotations.NullMarked;
