package org.nettlering.consensus;

import java.util.random.RandomGenerator;
import org.nettlering.domain.time.TimeSource;

/**
 * The ports through which a member uses its environment.
 *
 * @param time clocks and timers, not null
 * @param storage the durable state, closed with the member, not null
 * @param transport sends messages to the other members, not null
 * @param stateMachine the state machine that the log is applied to, not null
 * @param listener receives the events, not null
 * @param executors the executors, closed with the member, not null
 * @param random the source of random election timeouts, not null
 */
public record ConsensusPorts(
        TimeSource time,
        LogStorage storage,
        ConsensusTransport transport,
        ReplicatedStateMachine stateMachine,
        ConsensusListener listener,
        ConsensusExecutors executors,
        RandomGenerator random) {}
