/** Placeholder. */
@NullMarked
package org.nettlering.entry;

import org.jspecify.annotations.NullMarked;
