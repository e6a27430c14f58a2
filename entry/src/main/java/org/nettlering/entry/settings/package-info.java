/** The settings file of an entry process; used by its main class alone. */
@NullMarked
package org.nettlering.entry.settings;

import org.jspecify.annotations.NullMarked;
