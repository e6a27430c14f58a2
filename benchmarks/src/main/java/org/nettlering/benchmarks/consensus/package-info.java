/** Measures the replicated log on the real disk; run by {@code ./build bench consensus}. */
@NullMarked
package org.nettlering.benchmarks.consensus;

import org.jspecify.annotations.NullMarked;
