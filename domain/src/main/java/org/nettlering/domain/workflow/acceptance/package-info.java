/** Which jobs are accepted. */
@NullMarked
package org.nettlering.domain.workflow.acceptance;

import org.jspecify.annotations.NullMarked;
