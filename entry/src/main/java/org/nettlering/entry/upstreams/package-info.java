/** Connections to upstreams, attempts on them, and the loop that feeds the admission control. */
@NullMarked
package org.nettlering.entry.upstreams;

import org.jspecify.annotations.NullMarked;
