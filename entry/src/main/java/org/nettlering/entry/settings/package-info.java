/** The settings file of an entry process; used only by its main class. */
@NullMarked
package org.nettlering.entry.settings;

import org.jspecify.annotations.NullMarked;
