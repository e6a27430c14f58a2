/** Placeholder. */
@NullMarked
package org.nettlering.wire;

import org.jspecify.annotations.NullMarked;
