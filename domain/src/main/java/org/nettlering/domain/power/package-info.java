/** Keeps the site's committed draw under its cap, and says when a lowered cap will be met. */
@NullMarked
package org.nettlering.domain.power;

import org.jspecify.annotations.NullMarked;
