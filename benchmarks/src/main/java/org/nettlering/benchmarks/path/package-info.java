/** What the path of a request costs: the entry's share of the latency, its throughput, memory and start. */
@NullMarked
package org.nettlering.benchmarks.path;

import org.jspecify.annotations.NullMarked;
