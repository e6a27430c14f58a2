/** Placeholder. */
@NullMarked
package org.nettlering.consensus;

import org.jspecify.annotations.NullMarked;
