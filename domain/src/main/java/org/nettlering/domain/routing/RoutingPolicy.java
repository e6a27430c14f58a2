package org.nettlering.domain.routing;

/**
 * How an entry selects the upstream of a request.
 *
 * <p>{@link UpstreamSelector} implements the policies; docs/design/routing.md compares them. Instances are immutable
 * and thread-safe.
 */
public sealed interface RoutingPolicy {
    /** Selects the upstreams in turn, regardless of their requests in flight. */
    record RoundRobin() implements RoutingPolicy {}

    /** Selects the upstream with the fewest requests in flight from this entry. */
    record LeastInFlight() implements RoutingPolicy {}

    /** Draws two upstreams and selects the one with fewer requests in flight, as reported by peers and counted here. */
    record TwoChoices() implements RoutingPolicy {}

    /** Uses only slots that this entry holds: its share of each upstream and the slots borrowed from peers. */
    record LeasedSlots() implements RoutingPolicy {}
}
