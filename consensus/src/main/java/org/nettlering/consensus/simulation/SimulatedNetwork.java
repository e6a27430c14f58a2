package org.nettlering.consensus.simulation;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.nettlering.consensus.ConsensusMessage;
import org.nettlering.consensus.MemberId;
import org.nettlering.domain.time.ManualTime;

/** A network that drops, delays, reorders and duplicates messages, and whose links can be cut. Not thread-safe. */
final class SimulatedNetwork {
    /** The longest usual delay of a message. */
    private static final int MAX_DELAY_MICROS = 3_000;

    /** The longest delay of a message that is held up. */
    private static final int MAX_SLOW_DELAY_MICROS = 900_000;

    /** Runs the deliveries. */
    private final ManualTime time;

    /** Draws the fate of each message. */
    private final RandomGenerator random;

    /** Takes the delivered messages. */
    private final Receiver receiver;

    /** The links that are cut, each in one direction. */
    private final Set<Link> partitionedLinks = new HashSet<>();

    /** The share of messages that are lost, held up or duplicated. */
    private double faultProbability;

    SimulatedNetwork(ManualTime time, RandomGenerator random, Receiver receiver) {
        this.time = time;
        this.random = random;
        this.receiver = receiver;
    }

    /** Takes delivered messages. */
    @FunctionalInterface
    interface Receiver {
        void deliver(MemberId from, MemberId to, ConsensusMessage message);
    }

    void setFaultProbability(double probability) {
        faultProbability = probability;
    }

    void partition(MemberId from, MemberId to) {
        partitionedLinks.add(new Link(from, to));
    }

    void heal() {
        partitionedLinks.clear();
        faultProbability = 0;
    }

    void send(MemberId from, MemberId to, ConsensusMessage message) {
        if (partitionedLinks.contains(new Link(from, to)) || random.nextDouble() < faultProbability) {
            return;
        }
        deliverLater(from, to, message);
        if (random.nextDouble() < faultProbability) {
            deliverLater(from, to, message);
        }
    }

    private void deliverLater(MemberId from, MemberId to, ConsensusMessage message) {
        boolean isSlow = random.nextDouble() < faultProbability;
        long micros = 100L + random.nextInt(isSlow ? MAX_SLOW_DELAY_MICROS : MAX_DELAY_MICROS);
        time.schedule(Duration.ofNanos(micros * 1_000), () -> receiver.deliver(from, to, message));
    }

    private record Link(MemberId from, MemberId to) {}
}
