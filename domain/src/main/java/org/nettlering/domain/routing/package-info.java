/**
 * Which upstream takes a request, and how the entries share an upstream's slots.
 *
 * <p>Pure policies behind one sealed seam, {@link org.nettlering.domain.routing.RoutingPolicy}. {@code domain.admission}
 * calls them under its lock; the routing benchmark calls them from a model.
 */
@NullMarked
package org.nettlering.domain.routing;

import org.jspecify.annotations.NullMarked;
