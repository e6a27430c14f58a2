package org.nettlering.domain.workflow.host;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.HOST;
import static org.nettlering.domain.workflow.WorkflowSamples.run;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;

class TerminationEvidenceTest {
    private static final HostTimings TIMINGS =
            new HostTimings(Duration.ofSeconds(5), Duration.ofSeconds(6), Duration.ofMillis(200));

    private static final RunId RUN = run("a", 0, 0, 1);

    private static final ActiveRun ACTIVE = new ActiveRun(RUN, HOST, "");

    private static final long CLOCK_MILLIS = 1_000_000;

    private final HostSession session = HostSession.create(HOST, TIMINGS, 7, 0);

    @Test
    void expiredLeaseEvidenceContainsClockAndLastContact() {
        makeSchedulable();
        HostCommand.Start start = startRun();
        session.handleResponse(start, 0, new HostResponse.Accepted(CLOCK_MILLIS), millis(100));
        assertThat(session.inferTerminations(millis(8_000)))
                .singleElement()
                .extracting(RecordTermination::status)
                .isEqualTo(TerminalStatus.HOST_LOST);
        TerminationEvidence.LeaseLapsed evidence = evidence(TerminationEvidence.LeaseLapsed.class);
        assertThat(evidence.clockMillis()).isBetween(CLOCK_MILLIS + 7_700, CLOCK_MILLIS + 8_000);
        assertThat(evidence.leaseUntilMillis()).isEqualTo(start.leaseExpiryMillis());
        assertThat(evidence.readingAgeMillis()).isEqualTo(8_000);
        assertThat(evidence.reportAgeMillis()).isEqualTo(8_000);
        assertThat(evidence.answerAgeMillis()).isEqualTo(7_900);
    }

    @Test
    void hostThatSentAHeartbeatButNoResponseIsReportedAsNeverIdentified() {
        session.trackInheritedRun(ACTIVE, false, 0);
        sendHeartbeat();
        session.inferTerminations(millis(9_000));
        assertThat(evidence(TerminationEvidence.NeverIdentified.class).reportAgeMillis())
                .isEqualTo(9_000);
    }

    @Test
    void hostWithoutAnyContactIsReportedAsNeverIdentified() {
        session.trackInheritedRun(ACTIVE, false, 0);
        session.inferTerminations(millis(9_000));
        TerminationEvidence.NeverIdentified evidence = evidence(TerminationEvidence.NeverIdentified.class);
        assertThat(evidence.followedMillis()).isEqualTo(9_000);
        assertThat(evidence.reportAgeMillis()).isEqualTo(TerminationEvidence.NEVER);
    }

    @Test
    void hostThatShutDownIsReportedByItsLease() {
        makeSchedulable();
        session.handleResponse(startRun(), 0, new HostResponse.Accepted(CLOCK_MILLIS), 0);
        HostCommand poll = session.takeDueCommands(millis(100)).getFirst();
        session.handleShutdownNotice(HostIncarnation.UNKNOWN_START, 0);
        session.handleResponse(poll, 0, new HostResponse.NoResponse("closed"), 0);
        session.inferTerminations(millis(5_800));
        evidence(TerminationEvidence.LeaseLapsed.class);
    }

    @Test
    void otherIncarnationAtSameAddressIsReportedAsOtherLife() {
        makeSchedulable();
        session.handleResponse(startRun(), 0, new HostResponse.OtherIncarnation(), 0);
        session.inferTerminations(0);
        assertThat(session.runs().evidenceOf(RUN)).contains(new TerminationEvidence.OtherLife());
    }

    @Test
    void rejectedStartEvidenceContainsReason() {
        makeSchedulable();
        session.handleResponse(startRun(), 0, new HostResponse.Rejected(HostResponse.RejectionReason.NO_ROOM), 0);
        assertThat(session.runs().evidenceOf(RUN))
                .contains(new TerminationEvidence.StartRefused(HostResponse.RejectionReason.NO_ROOM));
    }

    @Test
    void inheritedRunMissingFromFirstPollIsReportedAsNeverListed() {
        session.trackInheritedRun(ACTIVE, false, 0);
        sendHeartbeat();
        respondToPoll(session.takeDueCommands(0).getFirst());
        assertThat(session.runs().evidenceOf(RUN)).contains(new TerminationEvidence.NeverListed());
    }

    @Test
    void activeRunHasNoTerminationEvidence() {
        makeSchedulable();
        startRun();
        assertThat(session.runs().evidenceOf(RUN)).isEmpty();
    }

    private void makeSchedulable() {
        sendHeartbeat();
        respondToPoll(session.takeDueCommands(0).getFirst());
    }

    private void respondToPoll(HostCommand poll) {
        session.handleResponse(poll, 0, new HostResponse.PollResult(CLOCK_MILLIS, List.of(), List.of()), 0);
    }

    private void sendHeartbeat() {
        Resources capacity = Resources.of(32_000, 128_000, 0);
        session.handleHeartbeat(new HostHeartbeat(HOST, "pool", "fd", capacity, "a", "r1", false, CLOCK_MILLIS, 1), 0);
    }

    private HostCommand.Start startRun() {
        session.trackNewRun(ACTIVE, "work", "", 0);
        return session.takeDueCommands(0).stream()
                .filter(HostCommand.Start.class::isInstance)
                .map(HostCommand.Start.class::cast)
                .findFirst()
                .orElseThrow();
    }

    private <T extends TerminationEvidence> T evidence(Class<T> type) {
        TerminationEvidence evidence = session.runs().evidenceOf(RUN).orElseThrow();
        assertThat(evidence).isInstanceOf(type);
        return type.cast(evidence);
    }

    private static long millis(long count) {
        return Duration.ofMillis(count).toNanos();
    }
}
