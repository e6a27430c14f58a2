package org.nettlering.domain.routing;

/**
 * How an entry chooses the upstream of a request.
 *
 * <p>{@link UpstreamSelector} carries the policies out. docs/design/routing.md compares them. Implementations are immutable
 * and thread-safe.
 */
public sealed interface RoutingPolicy {
    /** Takes the upstreams in turn, whatever they have in flight. */
    record RoundRobin() implements RoutingPolicy {}

    /** Takes the upstream with the least requests in flight from this entry. */
    record LeastInFlight() implements RoutingPolicy {}

    /** Draws two upstreams and takes the one with fewer requests in flight, counting what peers reported last. */
    record TwoChoices() implements RoutingPolicy {}

    /** Takes only slots that this entry holds: its share of each upstream, and what it borrowed from its peers. */
    record LeasedSlots() implements RoutingPolicy {}
}
