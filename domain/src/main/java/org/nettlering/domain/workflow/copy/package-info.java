/** Copies of tasks that are far behind their siblings. */
@NullMarked
package org.nettlering.domain.workflow.copy;

import org.jspecify.annotations.NullMarked;
