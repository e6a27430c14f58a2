/** Connections to upstreams, attempts to send requests to them, and the allocation of their slots. */
@NullMarked
package org.nettlering.entry.upstreams;

import org.jspecify.annotations.NullMarked;
