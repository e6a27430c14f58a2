/** What starts next, and on which host. */
@NullMarked
package org.nettlering.domain.workflow.placement;

import org.jspecify.annotations.NullMarked;
