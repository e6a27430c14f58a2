package org.nettlering.benchmarks.placement.model;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;

/** Carries messages late, twice, out of order or not at all. Not thread-safe. */
final class Network {
    /** The longest delay of an ordinary message. */
    private static final int ORDINARY_DELAY_MILLIS = 30;

    /** The longest delay of a message that is held up; longer than a lease. */
    private static final int LONG_DELAY_MILLIS = 25_000;

    /** Random numbers for delays and losses. */
    private final Random random;

    /** How bad the network is. */
    private final Faults faults;

    /** Messages under way, the next to arrive first. */
    private final PriorityQueue<Message> messages =
            new PriorityQueue<>(Comparator.comparingLong(Message::arrivalMillis).thenComparingLong(Message::order));

    /** The order number of the next message. */
    private long nextOrder;

    Network(Faults faults, long seed) {
        this.faults = faults;
        this.random = new Random(seed);
    }

    void send(long nowMillis, Runnable delivery) {
        if (random.nextInt(1000) < faults.lostPerMille()) {
            return;
        }
        post(nowMillis, delivery);
        if (random.nextInt(1000) < faults.duplicatedPerMille()) {
            post(nowMillis, delivery);
        }
    }

    void deliverUntil(long nowMillis) {
        while (!messages.isEmpty() && messages.peek().arrivalMillis() <= nowMillis) {
            messages.remove().delivery().run();
        }
    }

    private void post(long nowMillis, Runnable delivery) {
        boolean late = random.nextInt(1000) < faults.latePerMille();
        int delay = random.nextInt(late ? LONG_DELAY_MILLIS : ORDINARY_DELAY_MILLIS);
        messages.add(new Message(nowMillis + delay, nextOrder++, delivery));
    }

    private record Message(long arrivalMillis, long order, Runnable delivery) {}
}
