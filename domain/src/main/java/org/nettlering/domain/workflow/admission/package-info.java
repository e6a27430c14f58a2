/** The admission control of jobs. */
@NullMarked
package org.nettlering.domain.workflow.admission;

import org.jspecify.annotations.NullMarked;
