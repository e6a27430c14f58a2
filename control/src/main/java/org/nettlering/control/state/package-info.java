/** The replicated state machine of the control process, made of its parts. */
@NullMarked
package org.nettlering.control.state;

import org.jspecify.annotations.NullMarked;
