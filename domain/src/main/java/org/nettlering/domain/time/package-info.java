/** Time sources: the interface through which all code reads time and schedules timers, with a system and a manual clock. */
@NullMarked
package org.nettlering.domain.time;

import org.jspecify.annotations.NullMarked;
