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
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.transport.ControlGateway;

class ConfigurationClientTest {
    private static final Frame CONFIRMATION = Frame.newBuilder()
            .setConfigurationResponse(
                    ConfigurationResponse.newBuilder().setUpdate(ConfigurationUpdate.getDefaultInstance()))
            .build();

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final ConfigurationClient client = ConfigurationClient.of(new ConfirmingGateway(), time, applied -> {});

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

    /** Confirms revision zero to each poll. */
    private static final class ConfirmingGateway implements ControlGateway {
        @Override
        public CompletionStage<Frame> callLeader(Frame request, boolean repeatable, Duration timeout) {
            return CompletableFuture.completedFuture(CONFIRMATION);
        }

        @Override
        public List<CompletionStage<Frame>> callEveryMember(Frame request, Duration timeout) {
            return List.of();
        }
    }
}
