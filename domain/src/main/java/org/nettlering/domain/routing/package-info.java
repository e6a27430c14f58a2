/**
 * Selection of the upstream of a request, and sharing of the slots of an upstream between entries.
 *
 * <p>The policies are the implementations of {@link org.nettlering.domain.routing.RoutingPolicy} and have no side
 * effects outside this package. {@code domain.admission} calls them under its lock; the routing benchmark calls them
 * from a model.
 */
@NullMarked
package org.nettlering.domain.routing;

import org.jspecify.annotations.NullMarked;
