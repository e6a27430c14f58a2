package org.nettlering.consensus.simulation;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.nettlering.consensus.ConsensusMessage;
import org.nettlering.consensus.MemberId;
import org.nettlering.domain.time.ManualTime;

/** A network that drops, delays, reorders and duplicates messages and can be partitioned. Not thread-safe. */
final class SimulatedNetwork {
    /** The longest delay of a normal message. */
    private static final int MAX_DELAY_MICROS = 3_000;

    /** The longest delay of a slow message. */
    private static final int MAX_SLOW_DELAY_MICROS = 900_000;

    private final ManualTime time;

    private final RandomGenerator random;

    private final Receiver receiver;

    /** The links, each in one direction, that drop all messages. */
    private final Set<Link> partitionedLinks = new HashSet<>();

    /** The probability, from 0 to 1, that a message is lost; likewise that it is slow or duplicated. */
    private double faultProbability;

    SimulatedNetwork(ManualTime time, RandomGenerator random, Receiver receiver) {
        this.time = time;
        this.random = random;
        this.receiver = receiver;
    }

    /** Receives delivered messages. */
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
