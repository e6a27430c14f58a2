package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.JobPhase;

/** Guards against BUDGET: a task that crashes the hosts that start it was started for ever. */
class TaskCrashesHostsTest {
    private static final int HOSTS = 6;

    /** A task may be given up after two crashes, and must not be started a sixth time. */
    private static final int MOST_STARTS = 5;

    private static final long LONG_MILLIS = 60_000;

    private final CrashingHostsSite site = new CrashingHostsSite(HOSTS);

    @Test
    void taskIsGivenUpAfterTwoCrashesOfHostsOnWhichNothingElseHadJustStarted() {
        site.submitDeadly("deadly", 1);
        site.advance(LONG_MILLIS);
        assertThat(site.starts("deadly", 0)).isEqualTo(2);
        assertThat(site.phase("deadly")).isEqualTo(JobPhase.FAILED);
    }

    @Test
    void taskIsGivenUpAlthoughTheLeaderChangesAtEachCrash() {
        site.leaderReplacedAtCrashes = true;
        site.submitDeadly("deadly", 1);
        site.advance(LONG_MILLIS);
        assertThat(site.starts("deadly", 0)).isBetween(2, MOST_STARTS);
        assertThat(site.phase("deadly")).isEqualTo(JobPhase.FAILED);
    }

    @Test
    void crashesCountAlsoIfTheHostComesBackAfterItsLease() {
        site.downtime = Duration.ofSeconds(9);
        site.submitDeadly("deadly", 1);
        site.advance(3 * LONG_MILLIS);
        assertThat(site.starts("deadly", 0)).isBetween(2, MOST_STARTS);
        assertThat(site.phase("deadly")).isEqualTo(JobPhase.FAILED);
    }

    @Test
    void tasksThatStartBesideOneThatCrashesItsHostsAreDone() {
        for (int round = 0; round < 5; round++) {
            site.submitDeadly("deadly" + round, 2);
            site.submit("harmless" + round, 12);
            site.advance(1_000);
        }
        site.advance(LONG_MILLIS);
        for (int round = 0; round < 5; round++) {
            assertThat(site.phase("deadly" + round)).isEqualTo(JobPhase.FAILED);
            assertThat(site.phase("harmless" + round)).isEqualTo(JobPhase.COMPLETED);
            assertThat(site.starts("deadly" + round, 0)).isLessThanOrEqualTo(MOST_STARTS);
            assertThat(site.starts("deadly" + round, 1)).isLessThanOrEqualTo(MOST_STARTS);
        }
    }

    /** Guards against LOST: a job was shown as failed although no run of it had begun on a host that crashed. */
    @Test
    void taskWhoseStartsFoundHostsThatWereDownAlreadyIsDone() {
        site.submitUnlucky("unlucky", 3);
        site.advance(LONG_MILLIS);
        assertThat(site.starts("unlucky", 0)).isEqualTo(1);
        assertThat(site.phase("unlucky")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void taskWhoseStartsFoundHostsThatWereDownAlreadyIsDoneAlsoUnderOtherLeaders() {
        site.leaderReplacedAtCrashes = true;
        site.submitUnlucky("unlucky", 3);
        site.advance(LONG_MILLIS);
        assertThat(site.phase("unlucky")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void taskThatCrashesItsHostsBeforeTheyAnswerIsGivenUp() {
        site.crashesBeforeAnswers = true;
        site.submitDeadly("deadly", 1);
        site.advance(2 * LONG_MILLIS);
        assertThat(site.starts("deadly", 0)).isBetween(2, MOST_STARTS);
        assertThat(site.phase("deadly")).isEqualTo(JobPhase.FAILED);
    }

    @Test
    void taskThatWorkedForAWhileIsNotBlamedForCrashesOfItsHosts() {
        site.submitLongRunning("watch");
        for (int crash = 0; crash < 8; crash++) {
            site.advance(5_000);
            site.crash(site.hostOf("watch"));
            site.advance(5_000);
        }
        assertThat(site.phase("watch")).isEqualTo(JobPhase.RUNNING);
    }

    @Test
    void taskIsNotBlamedForHostsThatWereOnlyCutOff() {
        site.submitLongRunning("watch");
        for (int cut = 0; cut < 6; cut++) {
            site.advance(3_000);
            int host = site.hostOf("watch");
            site.cutOff(host);
            site.advance(10_000);
            site.reconnect(host);
        }
        site.advance(5_000);
        assertThat(site.phase("watch")).isEqualTo(JobPhase.RUNNING);
    }
}
