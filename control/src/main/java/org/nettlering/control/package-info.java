/** Placeholder. */
@NullMarked
package org.nettlering.control;

import org.jspecify.annotations.NullMarked;
