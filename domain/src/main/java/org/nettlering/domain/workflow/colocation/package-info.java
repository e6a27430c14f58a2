/** How runs that only fill share hosts with runs that serve users within a target. */
@NullMarked
package org.nettlering.domain.workflow.colocation;

import org.jspecify.annotations.NullMarked;
