/** Selects the tasks to start next and their hosts. */
@NullMarked
package org.nettlering.domain.workflow.placement;

import org.jspecify.annotations.NullMarked;
