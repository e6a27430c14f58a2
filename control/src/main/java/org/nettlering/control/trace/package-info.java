/** The spans of a control process; wraps the handler that {@code control.service} dispatches with. */
@NullMarked
package org.nettlering.control.trace;

import org.jspecify.annotations.NullMarked;
