/** Which jobs are accepted. */
@NullMarked
package org.nettlering.domain.workflow.admission;

import org.jspecify.annotations.NullMarked;
