/** The replicated log as the services of the control process see it. */
@NullMarked
package org.nettlering.control.log;

import org.jspecify.annotations.NullMarked;
