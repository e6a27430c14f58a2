/**
 * Settings in INI files, checked as a whole: every fault is found and reported at once.
 *
 * <p>The settings classes of the programs read their file through {@link org.nettlering.runtime.settings.SettingsReader}.
 */
@NullMarked
package org.nettlering.runtime.settings;

import org.jspecify.annotations.NullMarked;
