/** Placeholder. */
@NullMarked
package org.nettlering.runtime;

import org.jspecify.annotations.NullMarked;
