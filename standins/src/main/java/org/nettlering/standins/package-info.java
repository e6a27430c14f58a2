/** Placeholder. */
@NullMarked
package org.nettlering.standins;

import org.jspecify.annotations.NullMarked;
