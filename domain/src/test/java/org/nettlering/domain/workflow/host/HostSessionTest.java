package org.nettlering.domain.workflow.host;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.HOST;
import static org.nettlering.domain.workflow.WorkflowSamples.run;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.RunEnd;
import org.nettlering.domain.workflow.RunName;
import org.nettlering.domain.workflow.WorkflowCommand.End;
import org.nettlering.domain.workflow.host.HostAnswer.Accepted;
import org.nettlering.domain.workflow.host.HostAnswer.ListedEnd;
import org.nettlering.domain.workflow.host.HostAnswer.ListedRun;
import org.nettlering.domain.workflow.host.HostAnswer.Listing;
import org.nettlering.domain.workflow.host.HostAnswer.OtherLife;
import org.nettlering.domain.workflow.host.HostAnswer.RefusalReason;
import org.nettlering.domain.workflow.host.HostAnswer.Refused;
import org.nettlering.domain.workflow.host.HostAnswer.Silent;
import org.nettlering.domain.workflow.host.HostAnswer.Unsent;

class HostSessionTest {
    private static final HostLimits LIMITS =
            new HostLimits(Duration.ofSeconds(5), Duration.ofSeconds(6), Duration.ofMillis(200));

    private static final RunName RUN = run("a", 0, 0, 1);

    private static final ActiveRun ACTIVE = new ActiveRun(RUN, HOST, "");

    private final HostSession session = HostSession.begin(HOST, LIMITS, 7, 0);

    private long nowNanos;

    private long hostClockMillis = 1_000_000;

    @Test
    void aHostTakesWorkOnlyAfterItHasReportedAndAnswered() {
        assertThat(session.takesWork(nowNanos)).isFalse();
        report(false, 1);
        assertThat(session.takesWork(nowNanos)).isFalse();
        answerLook(List.of(), List.of());
        assertThat(session.takesWork(nowNanos)).isTrue();
    }

    @Test
    void aDrainingHostTakesNoWork() {
        answeredOnce();
        report(true, 2);
        assertThat(session.takesWork(nowNanos)).isFalse();
    }

    @Test
    void anOldReportThatComesLateChangesNothing() {
        answeredOnce();
        report(true, 5);
        report(false, 4);
        assertThat(session.takesWork(nowNanos)).isFalse();
    }

    @Test
    void aHostThatLeavesAnOrderUnansweredTakesNoWorkUntilItAnswersAgain() {
        answeredOnce();
        answer(startOrder(), new Silent("timeout"));
        assertThat(session.takesWork(nowNanos)).isFalse();
        pass(400);
        answerLook(List.of(), List.of());
        assertThat(session.takesWork(nowNanos)).isTrue();
    }

    @Test
    void aRefusedStartEndsAsNotBegun() {
        answeredOnce();
        assertThat(answer(startOrder(), new Refused(RefusalReason.NO_ROOM)))
                .containsExactly(new End(RUN, RunEnd.NOT_BEGUN, ""));
    }

    @Test
    void anEndThatTheHostListsIsReportedOnceAndForgottenOnlyAfterItIsLogged() {
        answeredOnce();
        answer(startOrder(), new Accepted(hostClockMillis));
        ListedEnd done = new ListedEnd(3, RUN, RunEnd.DONE, "");
        assertThat(answerLook(List.of(), List.of(done))).containsExactly(new End(RUN, RunEnd.DONE, ""));
        pass(200);
        assertThat(orders()).as("no look before the end is logged").isEmpty();
        assertThat(session.ended(RUN, RunEnd.DONE)).isTrue();
        assertThat(look().noted()).isEqualTo(3);
    }

    /** Guards against too little served: a start that never left this process waited for a stop, a grace and a look. */
    @Test
    void aStartThatWasNotSentIsOverAtOnceAndTheHostTakesNoWorkBeforeItAnswers() {
        answeredOnce();
        assertThat(answer(startOrder(), new Unsent("no connection")))
                .containsExactly(new End(RUN, RunEnd.NOT_BEGUN, ""));
        assertThat(orders().stream().filter(HostOrder.Stop.class::isInstance)).isEmpty();
        assertThat(session.takesWork(nowNanos)).isFalse();
        session.ended(RUN, RunEnd.NOT_BEGUN);
        pass(400);
        answerLook(List.of(), List.of());
        assertThat(session.takesWork(nowNanos)).isTrue();
    }

    @Test
    void aStartWithoutAnAnswerIsOverOnlyAfterAStopWasAnsweredAndALaterLookShowsNothing() {
        answeredOnce();
        answer(startOrder(), new Silent("timeout"));
        HostOrder.Stop stop = order(HostOrder.Stop.class);
        assertThat(answerLook(List.of(), List.of())).as("not stopped yet").isEmpty();
        answer(stop, new Accepted(hostClockMillis));
        pass(100);
        assertThat(answerLook(List.of(), List.of()))
                .as("within the grace of a stop")
                .isEmpty();
        pass(300);
        assertThat(answerLook(List.of(), List.of())).containsExactly(new End(RUN, RunEnd.NOT_BEGUN, ""));
    }

    @Test
    void aStartWithoutAnAnswerThatWasCarriedOutLateIsStoppedAndItsEndIsTaken() {
        answeredOnce();
        answer(startOrder(), new Silent("timeout"));
        answer(order(HostOrder.Stop.class), new Accepted(hostClockMillis));
        ListedEnd stopped = new ListedEnd(1, RUN, RunEnd.STOPPED, "half");
        pass(300);
        assertThat(answerLook(List.of(), List.of(stopped))).containsExactly(new End(RUN, RunEnd.STOPPED, "half"));
    }

    @Test
    void anInheritedRunThatTheFirstLookDoesNotShowNeverBegan() {
        session.inherit(ACTIVE, false, nowNanos);
        report(false, 1);
        assertThat(answerLook(List.of(), List.of())).containsExactly(new End(RUN, RunEnd.NOT_BEGUN, ""));
    }

    @Test
    void anInheritedRunThatTheFirstLookShowsGoesOn() {
        session.inherit(ACTIVE, false, nowNanos);
        report(false, 1);
        assertThat(answerLook(List.of(new ListedRun(RUN, "", 10, 0)), List.of()))
                .isEmpty();
        assertThat(orders().stream().filter(HostOrder.Stop.class::isInstance)).isEmpty();
    }

    @Test
    void anInheritedRunToWhichAPaceMayHaveBeenToldIsToldOneAnew() {
        session.inherit(ACTIVE, true, nowNanos);
        report(false, 1);
        answerLook(List.of(new ListedRun(RUN, "", 10, 0)), List.of());
        assertThat(session.loads().getFirst().pacePercent()).isZero();
        HostOrder.Pace pace = order(HostOrder.Pace.class);
        assertThat(pace.percent()).isEqualTo(100);
        answer(pace, new Accepted(hostClockMillis));
        assertThat(session.loads().getFirst().pacePercent()).isEqualTo(100);
    }

    @Test
    void aSilentHostsRunsEndWhenTheLeaseIsOverByItsOwnSlowClock() {
        answeredOnce();
        answer(startOrder(), new Accepted(hostClockMillis));
        answer(look(), new Silent("timeout"));
        passSilently(4_900);
        assertThat(session.overdueEnds(nowNanos)).isEmpty();
        passSilently(1_500);
        assertThat(session.overdueEnds(nowNanos)).containsExactly(new End(RUN, RunEnd.HOST_LOST, ""));
    }

    /** Guards against done work being started again: a run was taken for lost while its host was alive and knew better. */
    @Test
    void aRunOnAHostThatStillReportsIsNotTakenForLostWhenItsLeaseIsOver() {
        answeredOnce();
        answer(startOrder(), new Accepted(hostClockMillis));
        for (long sequence = 2; sequence < 7; sequence++) {
            passSilently(1_500);
            report(false, sequence);
        }
        assertThat(session.overdueEnds(nowNanos)).isEmpty();
        ListedEnd done = new ListedEnd(1, RUN, RunEnd.DONE, "");
        assertThat(answerLook(List.of(), List.of(done))).containsExactly(new End(RUN, RunEnd.DONE, ""));
    }

    @Test
    void aRunOnAHostThatReportsButNeverAnswersIsTakenForLostInTheEnd() {
        answeredOnce();
        answer(startOrder(), new Accepted(hostClockMillis));
        for (long sequence = 2; sequence < 12; sequence++) {
            passSilently(1_500);
            report(false, sequence);
        }
        assertThat(session.overdueEnds(nowNanos)).containsExactly(new End(RUN, RunEnd.HOST_LOST, ""));
    }

    /** Guards against done work being started again: the host was told to forget an end that nobody had logged. */
    @Test
    void anEndThatIsListedAfterTheRunWasTakenForLostIsLoggedBeforeTheHostMayForgetIt() {
        answeredOnce();
        answer(startOrder(), new Accepted(hostClockMillis));
        passSilently(7_000);
        assertThat(session.overdueEnds(nowNanos)).containsExactly(new End(RUN, RunEnd.HOST_LOST, ""));
        session.ended(RUN, RunEnd.HOST_LOST);
        report(false, 2);
        ListedEnd done = new ListedEnd(4, RUN, RunEnd.DONE, "");
        assertThat(answerLook(List.of(), List.of(done))).containsExactly(new End(RUN, RunEnd.DONE, ""));
        pass(200);
        assertThat(orders()).as("no look before the end is logged").isEmpty();
        session.ended(RUN, RunEnd.DONE);
        assertThat(look().noted()).isEqualTo(4);
    }

    @Test
    void anEndThatIsListedWhileTheLossWaitsToBeLoggedTakesItsPlace() {
        answeredOnce();
        answer(startOrder(), new Accepted(hostClockMillis));
        passSilently(7_000);
        assertThat(session.overdueEnds(nowNanos)).containsExactly(new End(RUN, RunEnd.HOST_LOST, ""));
        ListedEnd done = new ListedEnd(4, RUN, RunEnd.DONE, "");
        assertThat(answerLook(List.of(), List.of(done))).containsExactly(new End(RUN, RunEnd.DONE, ""));
    }

    /** Guards against done work being started again: the logged loss released the end that was listed meanwhile. */
    @Test
    void anEndThatIsListedWhileTheLossIsOnItsWayThroughTheLogIsNotForgottenWhenTheLossIsLogged() {
        answeredOnce();
        answer(startOrder(), new Accepted(hostClockMillis));
        passSilently(7_000);
        assertThat(session.overdueEnds(nowNanos)).containsExactly(new End(RUN, RunEnd.HOST_LOST, ""));
        report(false, 2);
        ListedEnd done = new ListedEnd(4, RUN, RunEnd.DONE, "");
        assertThat(answerLook(List.of(), List.of(done))).containsExactly(new End(RUN, RunEnd.DONE, ""));
        session.ended(RUN, RunEnd.HOST_LOST);
        pass(200);
        assertThat(orders()).as("no look before the end is logged").isEmpty();
        session.ended(RUN, RunEnd.DONE);
        assertThat(look().noted()).isEqualTo(4);
    }

    /** Guards against two runs at a time: a host whose word that it leaves got no answer works on for seconds. */
    @Test
    void aHostThatShowsALifeSignAfterItSaidThatItLeavesHasNotGoneYet() {
        answeredOnce();
        answer(startOrder(), new Accepted(hostClockMillis));
        session.leave(nowNanos);
        pass(1_400);
        session.leave(nowNanos);
        pass(1_400);
        answerLook(List.of(new ListedRun(RUN, "", 10, 0)), List.of());
        passSilently(1_400);
        assertThat(session.overdueEnds(nowNanos)).isEmpty();
        passSilently(300);
        assertThat(session.overdueEnds(nowNanos)).containsExactly(new End(RUN, RunEnd.HOST_LOST, ""));
    }

    @Test
    void aHostThatIsSilentIsNotGivenALongerLease() {
        answeredOnce();
        answer(startOrder(), new Accepted(hostClockMillis));
        answer(look(), new Silent("timeout"));
        pass(400);
        assertThat(look().leaseUntilMillis()).isZero();
    }

    @Test
    void theRunsOfAnInheritedSilentHostEndOnlyAfterTheLongestLeaseOfAnEarlierLeader() {
        session.inherit(ACTIVE, false, nowNanos);
        passSilently(7_500);
        assertThat(session.overdueEnds(nowNanos)).isEmpty();
        passSilently(1_500);
        assertThat(session.overdueEnds(nowNanos)).containsExactly(new End(RUN, RunEnd.HOST_LOST, ""));
    }

    /** Guards against a second run beside the first: the first reading of the host's clock may be seconds old. */
    @Test
    void theLeaseOfAnEarlierLeaderIsCountedFromTheNewestReadingOfTheClock() {
        session.inherit(ACTIVE, false, nowNanos);
        passSilently(200);
        hostClockMillis -= 4_000;
        report(false, 1);
        hostClockMillis += 4_000;
        pass(1_000);
        report(false, 2);
        passSilently(5_900);
        assertThat(session.overdueEnds(nowNanos)).isEmpty();
        passSilently(3_000);
        assertThat(session.overdueEnds(nowNanos)).containsExactly(new End(RUN, RunEnd.HOST_LOST, ""));
    }

    @Test
    void anotherLifeAtTheAddressProvesThatTheRunsAreOver() {
        answeredOnce();
        answer(startOrder(), new Accepted(hostClockMillis));
        answer(look(), new OtherLife());
        assertThat(session.overdueEnds(nowNanos)).containsExactly(new End(RUN, RunEnd.HOST_LOST, ""));
        assertThat(orders()).isEmpty();
    }

    @Test
    void aRunThatShouldNotBeThereIsStoppedUntilItIsGone() {
        answeredOnce();
        RunName stray = run("b", 0, 0, 1);
        answer(startOrder(), new Accepted(hostClockMillis));
        answerLook(List.of(new ListedRun(RUN, "", 0, 0), new ListedRun(stray, "", 0, 0)), List.of());
        assertThat(order(HostOrder.Stop.class).run()).isEqualTo(stray);
    }

    @Test
    void aStopIsSentAgainWhenItGotNoAnswer() {
        answeredOnce();
        answer(startOrder(), new Accepted(hostClockMillis));
        session.stop(RUN);
        answer(order(HostOrder.Stop.class), new Silent("timeout"));
        assertThat(orders().stream().filter(HostOrder.Stop.class::isInstance)).isEmpty();
        pass(500);
        assertThat(order(HostOrder.Stop.class).run()).isEqualTo(RUN);
    }

    @Test
    void aRunWhoseJobEndedBeforeItsOrderWasSentNeverBegins() {
        answeredOnce();
        session.start(ACTIVE, "work", "", nowNanos);
        session.stop(RUN);
        assertThat(session.overdueEnds(nowNanos)).containsExactly(new End(RUN, RunEnd.NOT_BEGUN, ""));
        assertThat(orders().stream().filter(HostOrder.Start.class::isInstance)).isEmpty();
    }

    /** Found by the check of the task protocol, seed 7: an idle host never got work again. */
    @Test
    void aHostWhoseOldLeaseIsOverTakesNewRuns() {
        answeredOnce();
        answer(startOrder(), new Accepted(hostClockMillis));
        answerLook(List.of(), List.of(new ListedEnd(1, RUN, RunEnd.DONE, "")));
        session.ended(RUN, RunEnd.DONE);
        pass(20_000);
        report(false, 2);
        RunName next = run("b", 0, 0, 1);
        session.start(new ActiveRun(next, HOST, ""), "work", "", nowNanos);
        assertThat(session.overdueEnds(nowNanos)).isEmpty();
        assertThat(order(HostOrder.Start.class).run().run()).isEqualTo(next);
    }

    @Test
    void aHostThatRefusedWorkIsLeftAloneForAMoment() {
        answeredOnce();
        answer(startOrder(), new Refused(RefusalReason.NO_ROOM));
        assertThat(session.takesWork(nowNanos)).isFalse();
        pass(600);
        assertThat(session.takesWork(nowNanos)).isTrue();
    }

    @Test
    void everyOrderCarriesTheTokenOfTheTerm() {
        answeredOnce();
        session.start(ACTIVE, "work", "", nowNanos);
        pass(150);
        assertThat(orders())
                .isNotEmpty()
                .allSatisfy(order -> assertThat(order.token()).isEqualTo(7));
    }

    private void answeredOnce() {
        report(false, 1);
        answerLook(List.of(), List.of());
    }

    private void report(boolean draining, long sequence) {
        Resources capacity = Resources.of(32_000, 128_000, 0);
        session.receive(
                new HostReport(HOST, "pool", "fd", capacity, "a", "r1", draining, hostClockMillis, sequence), nowNanos);
    }

    private HostOrder.Start startOrder() {
        session.start(ACTIVE, "work", "", nowNanos);
        return order(HostOrder.Start.class);
    }

    private List<End> answerLook(List<ListedRun> running, List<ListedEnd> ended) {
        return answer(look(), new Listing(hostClockMillis, running, ended));
    }

    private HostOrder.Hold look() {
        for (int attempt = 0; attempt < 20; attempt++) {
            if (orders().stream().anyMatch(HostOrder.Hold.class::isInstance)) {
                return order(HostOrder.Hold.class);
            }
            pass(50);
        }
        throw new AssertionError("no look is due");
    }

    private final List<HostOrder> held = new ArrayList<>();

    /** Returns the orders that are due, and keeps those that the test has not asked for yet. */
    private List<HostOrder> orders() {
        held.addAll(session.dueOrders(nowNanos));
        return List.copyOf(held);
    }

    private <T extends HostOrder> T order(Class<T> kind) {
        T found = orders().stream()
                .filter(kind::isInstance)
                .map(kind::cast)
                .findFirst()
                .orElseThrow(() -> new AssertionError("no order of kind " + kind.getSimpleName()));
        held.remove(found);
        return found;
    }

    private List<End> answer(HostOrder order, HostAnswer answer) {
        return session.answered(order, nowNanos, answer, nowNanos);
    }

    private void pass(long millis) {
        nowNanos += Duration.ofMillis(millis).toNanos();
        hostClockMillis += millis;
    }

    /** Lets time pass in which every look stays unanswered. */
    private void passSilently(long millis) {
        for (long passed = 0; passed < millis; passed += 100) {
            pass(100);
            for (HostOrder order : session.dueOrders(nowNanos)) {
                answer(order, new Silent("timeout"));
            }
        }
    }
}
