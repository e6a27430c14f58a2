/** Measures what the leader's loop costs at the size of the grown sites, over hosts and a log in memory. */
@NullMarked
package org.nettlering.benchmarks.leader;

import org.jspecify.annotations.NullMarked;
