package org.nettlering.entry.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationResponse;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationUpdate;
import org.nettlering.wire.proto.ConfigurationProto.Service;
import org.nettlering.wire.proto.ConfigurationProto.SiteConfiguration;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.transport.ControlGateway;

class ConfigurationClientTest {
    private static final Frame CONFIRMATION = Frame.newBuilder()
            .setConfigurationResponse(
                    ConfigurationResponse.newBuilder().setUpdate(ConfigurationUpdate.getDefaultInstance()))
            .build();

    private static final Frame UNREADABLE = Frame.newBuilder()
            .setConfigurationResponse(ConfigurationResponse.newBuilder()
                    .setUpdate(ConfigurationUpdate.newBuilder()
                            .setRevision(1)
                            .setFull(SiteConfiguration.newBuilder()
                                    .setRevision(1)
                                    .addServices(Service.getDefaultInstance()))))
            .build();

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final ConfirmingGateway gateway = new ConfirmingGateway();
    private final ConfigurationClient client = ConfigurationClient.of(gateway, time, applied -> {});

    @Test
    void theCopyIsNotFreshAfterTheHostWasSuspendedUntilItIsConfirmedAgain() {
        client.start();
        assertThat(client.isFresh()).isTrue();

        time.suspend(ConfigurationClient.FRESHNESS_PERIOD);
        assertThat(client.isFresh()).isFalse();

        time.advance(Duration.ofSeconds(1));
        assertThat(client.isFresh()).isTrue();
    }

    @Test
    void theCopyIsNotFreshOnceThePeriodIsOver() {
        client.start();
        client.stop();
        time.advance(ConfigurationClient.FRESHNESS_PERIOD.minusMillis(1));
        assertThat(client.isFresh()).isTrue();
        time.advance(Duration.ofMillis(1));
        assertThat(client.isFresh()).isFalse();
    }

    @Test
    void aResponseThatCannotBeReadDoesNotEndThePolls() {
        gateway.response = CompletableFuture.completedFuture(UNREADABLE);
        client.start();
        time.advance(ConfigurationClient.POLL_INTERVAL);
        assertThat(client.isFresh()).isFalse();

        gateway.response = CompletableFuture.completedFuture(CONFIRMATION);
        time.advance(ConfigurationClient.POLL_INTERVAL);
        assertThat(client.isFresh()).isTrue();
    }

    /** Gives the same response to each poll, at first the confirmation of revision zero. */
    private static final class ConfirmingGateway implements ControlGateway {
        private CompletionStage<Frame> response = CompletableFuture.completedFuture(CONFIRMATION);

        @Override
        public CompletionStage<Frame> callLeader(Frame request, boolean repeatable, Duration timeout) {
            return response;
        }

        @Override
        public List<CompletionStage<Frame>> callEveryMember(Frame request, Duration timeout) {
            return List.of();
        }
    }
}
