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
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final TaskState state = TaskState.empty();
    private final SessionLeases leases = SessionLeases.beginningAt(0);

    @Test
    void aLeaseEndsOnlyAfterLeaseAndDriftBound() {
        Worker worker = register(1);
        leases.renew(worker, SECOND);

        assertThat(leases.expire(state.workers(), 11 * SECOND)).isEmpty();
        assertThat(leases.expire(state.workers(), 12 * SECOND)).containsExactly(worker);
    }

    @Test
    void aNewLeaderCountsEveryLeaseAsRenewedWhenItsTermBegan() {
        Worker worker = register(1);
        SessionLeases later = SessionLeases.beginningAt(100 * SECOND);

        assertThat(later.expire(state.workers(), 110 * SECOND)).isEmpty();
        assertThat(later.expire(state.workers(), 111 * SECOND)).containsExactly(worker);
    }

    @Test
    void aSessionThatIsBeingClosedIsNotRenewed() {
        Worker worker = register(1);
        leases.expire(state.workers(), 20 * SECOND);

        assertThat(leases.renew(worker, 20 * SECOND)).isFalse();
    }

    @Test
    void aWorkerThatRegisteredAgainHasAWholeLeaseBeforeIt() {
        Worker worker = register(1);
        leases.renew(worker, SECOND);
        leases.expire(state.workers(), 20 * SECOND);
        state.apply(new TaskCommand.LoseWorker(20_000, "worker-1", worker.session()), 0);
        register(2);

        assertThat(leases.expire(state.workers(), 30 * SECOND)).isEmpty();
        assertThat(leases.renew(worker, 31 * SECOND)).isTrue();
    }

    @Test
    void aReportThatComesAfterALaterOneIsNotRead() {
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
