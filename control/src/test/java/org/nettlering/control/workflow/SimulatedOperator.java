package org.nettlering.control.workflow;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.wire.codec.WorkflowCommandCodec;
import org.nettlering.wire.proto.CommandProto.SiteCommand;

/**
 * The operator of a simulation, who starts and finishes evacuations of failure domains and remembers which are acknowledged.
 *
 * <p>An evacuation is in force from its acknowledgement until its finish is ordered, as a finish may take effect although its
 * acknowledgement is lost.
 */
final class SimulatedOperator {
    /** How long after its acknowledgement an evacuation is in force everywhere. */
    private static final Duration EVACUATION_BOUND = Duration.ofSeconds(5);

    /** One order in so many steps. */
    private static final int STEPS_PER_ORDER = 400;

    private final SplittableRandom random;

    private final TimeSource time;

    private final int domains;

    /** Since when each failure domain is evacuated by an acknowledged order, in monotonic nanoseconds; absent if it is not. */
    private final Map<String, Long> evacuatedSinceNanos = new HashMap<>();

    SimulatedOperator(long seed, TimeSource time, int domains) {
        random = new SplittableRandom(seed);
        this.time = time;
        this.domains = domains;
    }

    /** Starts or finishes the evacuation of one failure domain now and then. */
    void maybeOrder(SharedLog.Member leader, WorkflowStateMachine stateMachine) {
        if (random.nextInt(STEPS_PER_ORDER) == 0) {
            order(leader, stateMachine, domain(random.nextInt(domains)), random.nextBoolean());
        }
    }

    /** Finishes all evacuations. */
    void finishAll(SharedLog.Member leader, WorkflowStateMachine stateMachine) {
        for (int number = 0; number < domains; number++) {
            order(leader, stateMachine, domain(number), false);
        }
    }

    /** Returns whether nothing may start in a failure domain any more. */
    boolean isEvacuationInForce(String domain) {
        Long sinceNanos = evacuatedSinceNanos.get(domain);
        return sinceNanos != null && time.nanoTime() - sinceNanos > EVACUATION_BOUND.toNanos();
    }

    private static String domain(int number) {
        return "fd" + number;
    }

    private void order(SharedLog.Member leader, WorkflowStateMachine stateMachine, String domain, boolean evacuated) {
        if (!evacuated) {
            evacuatedSinceNanos.remove(domain);
        }
        long version = stateMachine.read((state, queues) -> state.evacuations().version());
        SiteCommand command = SiteCommand.newBuilder()
                .setWorkflow(
                        WorkflowCommandCodec.encode(new WorkflowCommand.ChangeEvacuation(domain, evacuated, version)))
                .build();
        try {
            leader.propose(command).thenRun(() -> acknowledged(domain, evacuated));
        } catch (IllegalStateException injected) {
            // The operator gets no acknowledgement.
        }
    }

    private void acknowledged(String domain, boolean evacuated) {
        if (evacuated) {
            evacuatedSinceNanos.put(domain, time.nanoTime());
        }
    }
}
