package org.nettlering.standins.journal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.nettlering.standins.journal.JournalLine.PowerDrawn;
import org.nettlering.standins.journal.JournalLine.RequestRan;
import org.nettlering.standins.journal.JournalLine.TaskEnded;
import org.nettlering.standins.journal.JournalLine.TaskStarted;

class JournalCheckTest {
    @Test
    void aKeyThatRanAtTwoUpstreamsIsADuplicate() {
        JournalCheck check = JournalCheck.of(
                List.of(List.of(new RequestRan(1, "key", "a.1")), List.of(new RequestRan(2, "key", "a.2"))));

        assertThat(check.duplicateKeys()).containsExactly("key");
    }

    @Test
    void requestsWithoutAKeyAreNeverDuplicates() {
        JournalCheck check =
                JournalCheck.of(List.of(List.of(new RequestRan(1, "-", "a.1"), new RequestRan(2, "-", "a.2"))));

        assertThat(check.duplicateKeys()).isEmpty();
    }

    @Test
    void anAttemptThatRanAlthoughItWasCalledNotRunIsFound() {
        JournalCheck check = JournalCheck.of(List.of(List.of(new RequestRan(1, "key", "a.1"))));

        assertThat(check.ranDespiteNotRun(Set.of("a.1", "a.2"))).containsExactly("a.1");
    }

    @Test
    void aJobThatRanAtTwoWorkersAtOnceIsFound() {
        JournalCheck check = JournalCheck.of(List.of(
                List.of(new TaskStarted(1, "job", 1), new TaskEnded(10, "job", 1, "STOPPED")),
                List.of(new TaskStarted(9, "job", 2), new TaskEnded(20, "job", 2, "COMPLETED"))));

        assertThat(check.overlappingJobs()).containsExactly("job");
    }

    @Test
    void aJobThatResumedAfterItsEndDoesNotOverlap() {
        JournalCheck check = JournalCheck.of(List.of(
                List.of(new TaskStarted(1, "job", 1), new TaskEnded(10, "job", 1, "STOPPED")),
                List.of(new TaskStarted(10, "job", 2), new TaskEnded(20, "job", 2, "COMPLETED"))));

        assertThat(check.overlappingJobs()).isEmpty();
        assertThat(check.jobsCompletedTwice()).isEmpty();
    }

    @Test
    void oneEpochThatStartedTwiceIsFound() {
        JournalCheck check = JournalCheck.of(List.of(
                List.of(new TaskStarted(1, "job", 1), new TaskEnded(5, "job", 1, "STOPPED")),
                List.of(new TaskStarted(6, "job", 1), new TaskEnded(9, "job", 1, "COMPLETED"))));

        assertThat(check.overlappingJobs()).containsExactly("job");
    }

    @Test
    void theRunOfAKilledWorkerEndsWithItsLastLine() {
        JournalCheck check = JournalCheck.of(List.of(
                List.of(new TaskStarted(1, "job", 1), new PowerDrawn(5, 100)),
                List.of(new TaskStarted(4, "job", 2), new TaskEnded(9, "job", 2, "COMPLETED"))));

        assertThat(check.overlappingJobs()).containsExactly("job");
    }

    @Test
    void thePeakAddsUpWhatAllWorkersDrawAtOneMoment() {
        JournalCheck check = JournalCheck.of(List.of(
                List.of(new PowerDrawn(1, 100), new PowerDrawn(5, 300), new PowerDrawn(9, 100)),
                List.of(new PowerDrawn(1, 100), new PowerDrawn(10, 250))));

        assertThat(check.peakMilliwatts()).isEqualTo(400);
    }

    @Test
    void everyLineReadsBackAsItWasWritten() {
        List<JournalLine> lines = List.of(
                new RequestRan(1, "key", "a.1"),
                new TaskStarted(2, "job", 3),
                new TaskEnded(3, "job", 3, "STOPPED"),
                new PowerDrawn(4, 5));

        assertThat(lines)
                .allSatisfy(line -> assertThat(JournalLine.parse(line.text())).isEqualTo(line));
    }
}
