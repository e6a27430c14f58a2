package org.nettlering.consensus;

import java.util.random.RandomGenerator;
import org.nettlering.domain.time.TimeSource;

/**
 * What a member needs from outside.
 *
 * @param time clocks and timers, not null
 * @param storage the durable state, closed with the member, not null
 * @param transport sends to the other members, not null
 * @param stateMachine what the log drives, not null
 * @param listener hears what happens, not null
 * @param executors the threads, closed with the member, not null
 * @param random draws the election timeouts, not null
 */
public record ConsensusPorts(
        TimeSource time,
        LogStorage storage,
        ConsensusTransport transport,
        ReplicatedStateMachine stateMachine,
        ConsensusListener listener,
        ConsensusExecutors executors,
        RandomGenerator random) {}
