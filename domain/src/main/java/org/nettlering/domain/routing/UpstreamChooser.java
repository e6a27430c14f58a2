package org.nettlering.domain.routing;

import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the upstream of a request by a {@link RoutingPolicy}.
 *
 * <p>Mutable and not thread-safe: its owner guards it by a lock.
 */
public final class UpstreamChooser {
    /** The policy. */
    private final RoutingPolicy policy;

    /** Breaks ties and draws the two choices. */
    private final RandomGenerator random;

    /** Where round robin goes on. */
    private int cursor;

    /**
     * Creates a chooser.
     *
     * @param policy the policy, not null
     * @param random the source of random numbers, not null
     * @return a new chooser, never null
     */
    public static UpstreamChooser of(RoutingPolicy policy, RandomGenerator random) {
        return new UpstreamChooser(policy, random);
    }

    private UpstreamChooser(RoutingPolicy policy, RandomGenerator random) {
        this.policy = policy;
        this.random = random;
    }

    /**
     * Chooses one of the candidates.
     *
     * @param candidates the instances that may take the request, not null
     * @return the chosen one, or null when the request has to wait
     */
    public @Nullable InstanceSlots choose(List<InstanceSlots> candidates) {
        if (candidates.isEmpty()) {
            return null;
        }
        return switch (policy) {
            case RoutingPolicy.RoundRobin roundRobin -> nextInTurn(candidates);
            case RoutingPolicy.LeastInFlight leastInFlight -> leastInFlightHere(candidates);
            case RoutingPolicy.TwoChoices twoChoices -> betterOfTwo(candidates);
            case RoutingPolicy.LeasedSlots leasedSlots -> freestHeld(candidates);
        };
    }

    private @Nullable InstanceSlots nextInTurn(List<InstanceSlots> candidates) {
        for (int tried = 0; tried < candidates.size(); tried++) {
            cursor = (cursor + 1) % candidates.size();
            InstanceSlots candidate = candidates.get(cursor);
            if (candidate.freeConnections() > 0) {
                return candidate;
            }
        }
        return null;
    }

    private @Nullable InstanceSlots leastInFlightHere(List<InstanceSlots> candidates) {
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

    private @Nullable InstanceSlots betterOfTwo(List<InstanceSlots> candidates) {
        InstanceSlots first = candidates.get(random.nextInt(candidates.size()));
        InstanceSlots second = candidates.get(random.nextInt(candidates.size()));
        InstanceSlots better = first.knownInFlight() <= second.knownInFlight() ? first : second;
        if (hasKnownFreeSlot(better)) {
            return better;
        }
        int start = random.nextInt(candidates.size());
        for (int offset = 0; offset < candidates.size(); offset++) {
            InstanceSlots candidate = candidates.get((start + offset) % candidates.size());
            if (hasKnownFreeSlot(candidate)) {
                return candidate;
            }
        }
        return null;
    }

    private static boolean hasKnownFreeSlot(InstanceSlots candidate) {
        return candidate.freeConnections() > 0 && candidate.knownInFlight() < candidate.slots();
    }

    private @Nullable InstanceSlots freestHeld(List<InstanceSlots> candidates) {
        InstanceSlots best = null;
        int start = random.nextInt(candidates.size());
        for (int offset = 0; offset < candidates.size(); offset++) {
            InstanceSlots candidate = candidates.get((start + offset) % candidates.size());
            if (candidate.freeHeld() > 0 && (best == null || candidate.freeHeld() > best.freeHeld())) {
                best = candidate;
            }
        }
        return best;
    }
}
