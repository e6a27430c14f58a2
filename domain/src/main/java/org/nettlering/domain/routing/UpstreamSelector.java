package org.nettlering.domain.routing;

import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Selects the upstream of a request by a {@link RoutingPolicy}.
 *
 * <p>Mutable and not thread-safe: the owner guards it with a lock.
 */
public final class UpstreamSelector {
    private final RoutingPolicy policy;

    /** Draws the two candidates of {@link RoutingPolicy.TwoChoices} and the start index of linear searches. */
    private final RandomGenerator random;

    private int roundRobinIndex;

    /**
     * Creates a selector.
     *
     * @param policy the policy, not null
     * @param random the source of random numbers, not null
     * @return a new selector, never null
     */
    public static UpstreamSelector of(RoutingPolicy policy, RandomGenerator random) {
        return new UpstreamSelector(policy, random);
    }

    private UpstreamSelector(RoutingPolicy policy, RandomGenerator random) {
        this.policy = policy;
        this.random = random;
    }

    /**
     * Selects one of the candidates.
     *
     * @param candidates the instances that may get the request, not null
     * @return the selected instance, or null when no candidate has capacity and the request has to be queued
     */
    public @Nullable InstanceSlots select(List<InstanceSlots> candidates) {
        if (candidates.isEmpty()) {
            return null;
        }
        return switch (policy) {
            case RoutingPolicy.RoundRobin roundRobin -> selectRoundRobin(candidates);
            case RoutingPolicy.LeastInFlight leastInFlight -> selectLeastInFlight(candidates);
            case RoutingPolicy.TwoChoices twoChoices -> selectOfTwoChoices(candidates);
            case RoutingPolicy.LeasedSlots leasedSlots -> selectMostFreeSlots(candidates);
        };
    }

    private @Nullable InstanceSlots selectRoundRobin(List<InstanceSlots> candidates) {
        for (int attempt = 0; attempt < candidates.size(); attempt++) {
            roundRobinIndex = (roundRobinIndex + 1) % candidates.size();
            InstanceSlots candidate = candidates.get(roundRobinIndex);
            if (candidate.freeConnections() > 0) {
                return candidate;
            }
        }
        return null;
    }

    private @Nullable InstanceSlots selectLeastInFlight(List<InstanceSlots> candidates) {
        InstanceSlots best = null;
        int start = random.nextInt(candidates.size());
        for (int offset = 0; offset < candidates.size(); offset++) {
            InstanceSlots candidate = candidates.get((start + offset) % candidates.size());
            if (candidate.freeConnections() > 0 && (best == null || candidate.inFlight() < best.inFlight())) {
                best = candidate;
            }
        }
        return best;
    }

    private @Nullable InstanceSlots selectOfTwoChoices(List<InstanceSlots> candidates) {
        InstanceSlots first = candidates.get(random.nextInt(candidates.size()));
        InstanceSlots second = candidates.get(random.nextInt(candidates.size()));
        InstanceSlots better = first.totalInFlight() <= second.totalInFlight() ? first : second;
        if (hasFreeSlot(better)) {
            return better;
        }
        int start = random.nextInt(candidates.size());
        for (int offset = 0; offset < candidates.size(); offset++) {
            InstanceSlots candidate = candidates.get((start + offset) % candidates.size());
            if (hasFreeSlot(candidate)) {
                return candidate;
            }
        }
        return null;
    }

    private static boolean hasFreeSlot(InstanceSlots candidate) {
        return candidate.freeConnections() > 0 && candidate.totalInFlight() < candidate.slots();
    }

    private @Nullable InstanceSlots selectMostFreeSlots(List<InstanceSlots> candidates) {
        InstanceSlots best = null;
        int start = random.nextInt(candidates.size());
        for (int offset = 0; offset < candidates.size(); offset++) {
            InstanceSlots candidate = candidates.get((start + offset) % candidates.size());
            if (candidate.freeSlots() > 0 && (best == null || candidate.freeSlots() > best.freeSlots())) {
                best = candidate;
            }
        }
        return best;
    }
}
