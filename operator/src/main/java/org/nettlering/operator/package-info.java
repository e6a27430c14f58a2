/** Placeholder. */
@NullMarked
package org.nettlering.operator;

import org.jspecify.annotations.NullMarked;
