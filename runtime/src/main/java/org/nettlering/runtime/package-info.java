/**
 * What every program of the project shares: settings, log events, metrics and traces.
 *
 * <p>Depends on {@code domain} alone; the {@code wire} module and the programs depend on it.
 */
@NullMarked
package org.nettlering.runtime;

import org.jspecify.annotations.NullMarked;
