package org.nettlering.wire.codec;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.configuration.ConfigurationChange;
import org.nettlering.domain.configuration.ConfigurationChange.MoveService;
import org.nettlering.domain.configuration.ConfigurationChange.PutProfile;
import org.nettlering.domain.configuration.ConfigurationChange.PutService;
import org.nettlering.domain.configuration.ConfigurationChange.PutTeam;
import org.nettlering.domain.configuration.ConfigurationChange.RemoveProfile;
import org.nettlering.domain.configuration.ConfigurationChange.RemoveService;
import org.nettlering.domain.configuration.ConfigurationChange.RemoveTeam;
import org.nettlering.domain.configuration.ConfigurationChange.SetPowerCap;
import org.nettlering.domain.configuration.ConfigurationOperation;
import org.nettlering.domain.configuration.ConfigurationState;
import org.nettlering.domain.configuration.Interruption;
import org.nettlering.domain.configuration.Profile;
import org.nettlering.domain.configuration.RevisionRecord;
import org.nettlering.domain.configuration.Route;
import org.nettlering.domain.configuration.ServiceDefinition;
import org.nettlering.domain.configuration.Team;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.wire.proto.ConfigurationProto;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationCommand;

class ConfigurationCodecTest {
    private static final Profile PROFILE = new Profile("urgent", 90, Interruption.NEVER, 60);
    private static final ServiceDefinition SERVICE = new ServiceDefinition(
            "previews", "urgent", List.of(new Route("studio", "/previews")), Duration.ofMillis(1500), 40);
    private static final Team TEAM = new Team("proofs", 30_000, 64_000, 2);

    @Test
    void everyKindOfChangeSurvivesARoundTrip() {
        List<ConfigurationChange> changes = List.of(
                new PutProfile(PROFILE),
                new PutService(SERVICE),
                new PutTeam(TEAM),
                new MoveService("previews", "urgent"),
                new RemoveService("previews"),
                new RemoveTeam("proofs"),
                new RemoveProfile("urgent"),
                new SetPowerCap(9_000_000));
        RevisionRecord record = new RevisionRecord(3, "id", "operator", Instant.ofEpochMilli(5), changes);

        assertThat(ConfigurationCodec.toRecord(ConfigurationCodec.toMessage(record)))
                .isEqualTo(record);
    }

    @Test
    void aCapturedStateSurvivesARoundTrip() {
        ConfigurationState state = ConfigurationState.create();
        state.apply(operation("accepted", 0));
        state.apply(operation("refused", 0));

        assertThat(ConfigurationCodec.toSnapshot(ConfigurationCodec.toMessage(state.snapshot())))
                .isEqualTo(state.snapshot());
    }

    @Test
    void theDigestLeavesOutTheLeadersTime() {
        ConfigurationCommand command = ConfigurationCommand.newBuilder()
                .setOperationId("id")
                .setTimeUnixMillis(1)
                .build();
        ConfigurationCommand resent = command.toBuilder().setTimeUnixMillis(2).build();
        ConfigurationCommand other = command.toBuilder().setExpectedRevision(9).build();

        String digest = ConfigurationCodec.toOperation(command).contentDigest();
        assertThat(ConfigurationCodec.toOperation(resent).contentDigest()).isEqualTo(digest);
        assertThat(ConfigurationCodec.toOperation(other).contentDigest()).isNotEqualTo(digest);
    }

    @Test
    void anEmptyChangeIsRefused() {
        ConfigurationCommand command = ConfigurationCommand.newBuilder()
                .setOperationId("id")
                .addChanges(ConfigurationProto.ConfigurationChange.getDefaultInstance())
                .build();

        assertThatThrownBy(() -> ConfigurationCodec.toOperation(command))
                .isInstanceOf(NettleringException.class)
                .hasMessageContaining("empty");
    }

    private static ConfigurationOperation operation(String id, long expectedRevision) {
        return new ConfigurationOperation(
                id,
                "operator",
                expectedRevision,
                List.of(new PutProfile(PROFILE), new PutService(SERVICE), new PutTeam(TEAM)),
                Instant.ofEpochMilli(7),
                "digest");
    }
}
