package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.JobPhase;

/** Guards against TWICE: a host that had started again under its id discarded ends that nobody had seen. */
class HostsRebornUnderTheirIdTest {
    private static final int EARLIER_TASKS = 12;

    private CrashingHostsSite site = siteOf(1);

    private static CrashingHostsSite siteOf(int hosts) {
        CrashingHostsSite created = new CrashingHostsSite(hosts);
        created.idsKept = true;
        created.downtime = Duration.ofMillis(300);
        return created;
    }

    @AfterEach
    void noTaskRanTwiceAtTheSameTime() {
        assertThat(site.simultaneousStarts).isEmpty();
    }

    @Test
    void taskThatIsDoneOnARebornHostIsNotStartedAgain() {
        site.submit("earlier", EARLIER_TASKS);
        site.advance(5_000);
        assertThat(site.phase("earlier")).isEqualTo(JobPhase.COMPLETED);
        site.crash(0);
        site.advance(2_000);
        site.submit("later", 1);
        site.advance(10_000);
        assertThat(site.starts("later", 0)).isEqualTo(1);
        assertThat(site.phase("later")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void rebornHostGoesOnReceivingRuns() {
        site.submit("earlier", EARLIER_TASKS);
        site.advance(30_000);
        site.crash(0);
        site.advance(10_000);
        site.submit("later", 1);
        site.advance(5_000);
        assertThat(site.phase("later")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void runThatIsLostWithItsHostIsStartedAgainSoonAndOnce() {
        site.submit("earlier", EARLIER_TASKS);
        site.advance(5_000);
        site.submit("interrupted", 1);
        site.advance(700);
        site.crash(0);
        site.advance(3_000);
        assertThat(site.phase("interrupted")).isEqualTo(JobPhase.COMPLETED);
        assertThat(site.starts("interrupted", 0)).isEqualTo(2);
    }

    @Test
    void leaseOnARebornHostIsMeasuredByItsNewClock() {
        site = siteOf(2);
        for (int round = 0; round < 6; round++) {
            site.advance(20_000);
            site.submitLongRunning("watch" + round);
            site.advance(2_000);
            int host = site.hostOf("watch" + round);
            site.crash(host);
            site.advance(1_000);
            site.cutOff(host);
            site.advance(12_000);
            site.reconnect(host);
        }
        site.advance(20_000);
        for (int round = 0; round < 6; round++) {
            assertThat(site.hostOf("watch" + round)).isBetween(0, 1);
        }
    }

    @Test
    void taskThatCrashesHostsIsGivenUpAlthoughTheyKeepTheirIds() {
        site = siteOf(3);
        site.downtime = Duration.ofSeconds(3);
        site.submitDeadly("deadly", 1);
        site.advance(60_000);
        assertThat(site.starts("deadly", 0)).isEqualTo(2);
        assertThat(site.phase("deadly")).isEqualTo(JobPhase.FAILED);
    }

    @Test
    void crashesUnderAKeptIdAreCountedAlsoByNewLeaders() {
        site = siteOf(3);
        site.downtime = Duration.ofSeconds(3);
        site.leaderReplacedAtCrashes = true;
        site.submitDeadly("deadly", 1);
        site.advance(60_000);
        assertThat(site.starts("deadly", 0)).isBetween(2, 5);
        assertThat(site.phase("deadly")).isEqualTo(JobPhase.FAILED);
    }

    @Test
    void rebirthIsSeenAlsoByANewLeader() {
        site.submit("earlier", EARLIER_TASKS);
        site.advance(5_000);
        site.submit("interrupted", 2);
        site.advance(400);
        site.leaderReplacedAtCrashes = true;
        site.crash(0);
        site.advance(10_000);
        assertThat(site.phase("interrupted")).isEqualTo(JobPhase.COMPLETED);
        assertThat(site.starts("interrupted", 0)).isEqualTo(2);
    }
}
