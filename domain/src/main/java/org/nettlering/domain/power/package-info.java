/** Keeps the site's allocated power below its cap, and forecasts when a lowered cap will be met. */
@NullMarked
package org.nettlering.domain.power;

import org.jspecify.annotations.NullMarked;
