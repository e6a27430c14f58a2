/** Puts the parts of a control process together, and starts and stops them in order. */
@NullMarked
package org.nettlering.control.process;

import org.jspecify.annotations.NullMarked;
