package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.domain.workflow.host.HostResponse.ReportedRun;

/** Guards against a time to the first start that ends at its commit, before any host has been told of it. */
class FirstStartLatencyTest extends LeaderFixture {
    FirstStartLatencyTest() {
        super(1);
    }

    @Test
    void itEndsOnceWhenAHostHasAcceptedTheStart() {
        RunId run = startRun("a");
        metricsTime.advance(Duration.ofMillis(60));
        assertThat(metrics.summariseAndReset().firstStart().count()).isZero();
        HostCommand poll = acceptStartAndGetNextPoll();
        assertThat(metrics.summariseAndReset().firstStart()).isEqualTo(new LatencyRecorder.Summary(1, 60_000, 60_000));
        HostResponse list = new HostResponse.PollResult(1_200, List.of(new ReportedRun(run, "", 5, 0)), List.of());
        leadership.handleResponse(state, poll, nowNanos, list, nowNanos);
        assertThat(metrics.summariseAndReset().firstStart().count()).isZero();
    }
}
