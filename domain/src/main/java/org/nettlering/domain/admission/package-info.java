/**
 * Which request runs now, which waits and which is refused.
 *
 * <p>Uses {@code domain.routing} for the choice of an upstream and {@code domain.upstream} for what upstreams say; the
 * entry's callers' server and the routing benchmark use it.
 */
@NullMarked
package org.nettlering.domain.admission;

import org.jspecify.annotations.NullMarked;
