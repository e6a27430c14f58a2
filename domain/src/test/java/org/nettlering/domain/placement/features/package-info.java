/** The promises of placement as features. */
@NullMarked
package org.nettlering.domain.placement.features;

import org.jspecify.annotations.NullMarked;
