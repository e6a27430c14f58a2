/** The one port through which the project reads time and sets timers, and the implementation that tests advance. */
@NullMarked
package org.nettlering.domain.time;

import org.jspecify.annotations.NullMarked;
