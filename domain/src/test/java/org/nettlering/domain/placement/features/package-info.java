/** Cucumber steps for the guarantees of placement. */
@NullMarked
package org.nettlering.domain.placement.features;

import org.jspecify.annotations.NullMarked;
