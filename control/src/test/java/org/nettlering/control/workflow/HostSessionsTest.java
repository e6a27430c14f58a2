package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostSession;
import org.nettlering.domain.workflow.host.HostTimings;

/** Guards against TWICE: commands to a host whose session was discarded reached its next incarnation, which accepted their token. */
class HostSessionsTest {
    private static final HostIncarnation HOST = new HostIncarnation("h1", "10.0.0.1:80");

    private static final long TOKEN = 7;

    private final HostSessions sessions = new HostSessions(
            new HostTimings(Duration.ofSeconds(5), Duration.ofSeconds(6), Duration.ofMillis(200)), TOKEN);

    @Test
    void aHostThatComesBackAfterItsSessionWasDiscardedNeedsAHigherToken() {
        sessions.getOrCreate(HOST, 0);
        assertThat(sessions.needFence()).isFalse();
        sessions.remove(HOST.id());
        HostSession next = sessions.getOrCreate(HOST, 1);
        assertThat(sessions.needFence()).isTrue();
        assertThat(next.needsFence()).isTrue();
        List<String> fenced = new ArrayList<>();
        sessions.raiseToken(TOKEN + 1, 2, fenced::add);
        assertThat(fenced).containsExactly(HOST.id());
        assertThat(sessions.needFence()).isFalse();
        assertThat(next.takeDueCommands(2)).extracting(HostCommand::token).containsOnly(TOKEN + 1);
    }

    @Test
    void aHostThatIsNewToTheLeaderNeedsNone() {
        sessions.remove(HOST.id());
        assertThat(sessions.getOrCreate(HOST, 0).needsFence()).isFalse();
        assertThat(sessions.getOrCreate(HOST, 1).needsFence()).isFalse();
        assertThat(sessions.needFence()).isFalse();
    }
}
