/** Placeholder. */
@NullMarked
package org.nettlering.benchmarks;

import org.jspecify.annotations.NullMarked;
