/**
 * Stand-ins for what surrounds the system: upstreams, workers, callers and a faulty network.
 *
 * <p>They drive the real programs from outside, over the same protocols that a site uses; nothing in the programs depends
 * on them. {@link org.nettlering.standins.StandinMain} starts one of them as a process of its own.
 */
@NullMarked
package org.nettlering.standins;

import org.jspecify.annotations.NullMarked;
