/** Measures placement: the chosen planner against the naive one on the same seeded input, and its cost at three sizes. */
@NullMarked
package org.nettlering.benchmarks.placement;

import org.jspecify.annotations.NullMarked;
