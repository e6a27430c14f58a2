package org.nettlering.domain.workflow.host;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.HOST;
import static org.nettlering.domain.workflow.WorkflowSamples.run;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.RunEnd;
import org.nettlering.domain.workflow.RunName;
import org.nettlering.domain.workflow.WorkflowCommand.End;

class EndProofTest {
    private static final HostLimits LIMITS =
            new HostLimits(Duration.ofSeconds(5), Duration.ofSeconds(6), Duration.ofMillis(200));

    private static final RunName RUN = run("a", 0, 0, 1);

    private static final ActiveRun ACTIVE = new ActiveRun(RUN, HOST, "");

    private static final long CLOCK_MILLIS = 1_000_000;

    private final HostSession session = HostSession.begin(HOST, LIMITS, 7, 0);

    @Test
    void aLapsedLeaseTellsTheClockAndWhenTheHostWasHeardOf() {
        report();
        HostOrder.Start start = start();
        session.answered(start, 0, new HostAnswer.Accepted(CLOCK_MILLIS), millis(100));
        assertThat(session.overdueEnds(millis(8_000)))
                .singleElement()
                .extracting(End::how)
                .isEqualTo(RunEnd.HOST_LOST);
        EndProof.LeaseLapsed proof = proof(EndProof.LeaseLapsed.class);
        assertThat(proof.clockMillis()).isBetween(CLOCK_MILLIS + 7_700, CLOCK_MILLIS + 8_000);
        assertThat(proof.leaseUntilMillis()).isEqualTo(start.leaseUntilMillis());
        assertThat(proof.readingAgeMillis()).isEqualTo(8_000);
        assertThat(proof.reportAgeMillis()).isEqualTo(8_000);
        assertThat(proof.answerAgeMillis()).isEqualTo(7_900);
    }

    @Test
    void aHostThatNeverAnsweredIsToldSo() {
        report();
        start();
        session.overdueEnds(millis(8_000));
        assertThat(proof(EndProof.LeaseLapsed.class).answerAgeMillis()).isEqualTo(EndProof.NEVER);
    }

    @Test
    void aHostThatWasNeverHeardOfIsToldFromALapsedLease() {
        session.inherit(ACTIVE, false, 0);
        session.overdueEnds(millis(9_000));
        assertThat(proof(EndProof.NeverHeardOf.class).followedMillis()).isEqualTo(9_000);
    }

    @Test
    void aHostThatLeftIsTheProof() {
        report();
        HostOrder look = session.dueOrders(0).getFirst();
        start();
        session.leave(0);
        session.answered(look, 0, new HostAnswer.Silent("closed"), 0);
        session.overdueEnds(millis(1_600));
        assertThat(session.proofOf(RUN)).contains(new EndProof.HostLeft());
    }

    @Test
    void anotherLifeAtTheAddressIsTheProof() {
        report();
        session.answered(start(), 0, new HostAnswer.OtherLife(), 0);
        session.overdueEnds(0);
        assertThat(session.proofOf(RUN)).contains(new EndProof.OtherLife());
    }

    @Test
    void aRefusedStartTellsTheReason() {
        report();
        session.answered(start(), 0, new HostAnswer.Refused(HostAnswer.RefusalReason.NO_ROOM), 0);
        assertThat(session.proofOf(RUN)).contains(new EndProof.StartRefused(HostAnswer.RefusalReason.NO_ROOM));
    }

    @Test
    void anInheritedRunThatNoLookShowsWasNeverListed() {
        session.inherit(ACTIVE, false, 0);
        report();
        HostOrder look = session.dueOrders(0).getFirst();
        session.answered(look, 0, new HostAnswer.Listing(CLOCK_MILLIS, List.of(), List.of()), 0);
        assertThat(session.proofOf(RUN)).contains(new EndProof.NeverListed());
    }

    @Test
    void aRunWithoutAnEndHasNoProof() {
        report();
        start();
        assertThat(session.proofOf(RUN)).isEmpty();
    }

    private void report() {
        Resources capacity = Resources.of(32_000, 128_000, 0);
        session.receive(new HostReport(HOST, "pool", "fd", capacity, "a", "r1", false, CLOCK_MILLIS, 1), 0);
    }

    private HostOrder.Start start() {
        session.start(ACTIVE, "work", "", 0);
        return session.dueOrders(0).stream()
                .filter(HostOrder.Start.class::isInstance)
                .map(HostOrder.Start.class::cast)
                .findFirst()
                .orElseThrow();
    }

    private <T extends EndProof> T proof(Class<T> kind) {
        EndProof found = session.proofOf(RUN).orElseThrow();
        assertThat(found).isInstanceOf(kind);
        return kind.cast(found);
    }

    private static long millis(long count) {
        return Duration.ofMillis(count).toNanos();
    }
}
