package org.nettlering.domain.worker;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskState;
import org.nettlering.domain.task.Worker;

class SessionLeasesTest {
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

    private final TaskState state = TaskState.empty();
    private final SessionLeases leases = SessionLeases.startingAt(0);

    @Test
    void leaseExpiresAfterDurationPlusClockDrift() {
        Worker worker = register(1);
        leases.renew(worker, SECOND_NANOS);

        assertThat(leases.expire(state.workers(), 11 * SECOND_NANOS)).isEmpty();
        assertThat(leases.expire(state.workers(), 12 * SECOND_NANOS)).containsExactly(worker);
    }

    @Test
    void newLeaderTreatsAllLeasesAsRenewedAtLeadershipStart() {
        Worker worker = register(1);
        SessionLeases newLeaderLeases = SessionLeases.startingAt(100 * SECOND_NANOS);

        assertThat(newLeaderLeases.expire(state.workers(), 110 * SECOND_NANOS)).isEmpty();
        assertThat(newLeaderLeases.expire(state.workers(), 111 * SECOND_NANOS)).containsExactly(worker);
    }

    @Test
    void closingSessionIsNotRenewed() {
        Worker worker = register(1);
        leases.expire(state.workers(), 20 * SECOND_NANOS);

        assertThat(leases.renew(worker, 20 * SECOND_NANOS)).isFalse();
    }

    @Test
    void reregisteredWorkerGetsFullLease() {
        Worker worker = register(1);
        leases.renew(worker, SECOND_NANOS);
        leases.expire(state.workers(), 20 * SECOND_NANOS);
        state.apply(new TaskCommand.MarkWorkerLost(20_000, "worker-1", worker.session()), 0);
        register(2);

        assertThat(leases.expire(state.workers(), 30 * SECOND_NANOS)).isEmpty();
        assertThat(leases.renew(worker, 31 * SECOND_NANOS)).isTrue();
    }

    @Test
    void reportReceivedAfterNewerOneIsRejected() {
        assertThat(leases.accept(report(1, 2))).isTrue();
        assertThat(leases.accept(report(1, 1))).isFalse();
        assertThat(leases.accept(report(2, 1))).isTrue();
        assertThat(leases.accept(report(1, 3))).isFalse();
    }

    private Worker register(long incarnation) {
        state.apply(
                new TaskCommand.RegisterWorker(
                        0, "worker-1", incarnation, Resources.of(1, 1, 0), "rack", "domain", 0, List.of()),
                0);
        return state.worker("worker-1").orElseThrow();
    }

    private static WorkerReport report(long incarnation, long sequence) {
        return new WorkerReport(
                "worker-1", incarnation, sequence, Resources.NONE, "", "", 0, List.of(), List.of(), List.of());
    }
}
