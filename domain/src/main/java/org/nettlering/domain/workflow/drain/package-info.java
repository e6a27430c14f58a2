/** Which runs move away from hosts that are to be emptied. */
@NullMarked
package org.nettlering.domain.workflow.drain;

import org.jspecify.annotations.NullMarked;
