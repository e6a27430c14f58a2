/** The settings file of a control process; used by its main class alone. */
@NullMarked
package org.nettlering.control.settings;

import org.jspecify.annotations.NullMarked;
