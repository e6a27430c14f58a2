package org.nettlering.control.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Instant;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.nettlering.control.state.SiteStateMachine;
import org.nettlering.control.testing.EmptyPart;
import org.nettlering.control.testing.SingleMemberLog;
import org.nettlering.domain.configuration.ConfigurationState;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationChange;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationCommand;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationRequest;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationResponse;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationResult;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationUpdate;
import org.nettlering.wire.proto.ConfigurationProto.ExplainRevision;
import org.nettlering.wire.proto.ConfigurationProto.FetchConfiguration;
import org.nettlering.wire.proto.FrameProto.Frame;

class ConfigurationServiceTest {
    private final ConfigurationPart part = ConfigurationPart.create();
    private final SingleMemberLog log =
            new SingleMemberLog(SiteStateMachine.of(part, new EmptyPart(), new EmptyPart(), new EmptyPart()));
    private final ConfigurationService service =
            ConfigurationService.of(log, part, ManualTime.startingAt(Instant.ofEpochMilli(50)));

    @Test
    void aChangeIsStampedWithTheLeadersTime() {
        change("a", 0, 100);

        assertThat(part.state().record(1).orElseThrow().time()).isEqualTo(Instant.ofEpochMilli(50));
    }

    @Test
    void aFetchFromAKnownRevisionBringsTheDifferences() {
        change("a", 0, 100);
        change("b", 1, 200);

        ConfigurationUpdate update = fetch(1, false);

        assertThat(update.getRevision()).isEqualTo(2);
        assertThat(update.hasFull()).isFalse();
        assertThat(update.getDifferencesList()).hasSize(1);
    }

    @Test
    void aFetchAfterHundredsOfMissedChangesBringsAFullCopy() {
        for (int revision = 0; revision <= ConfigurationState.MAX_RETAINED_REVISIONS; revision++) {
            change("operation-" + revision, revision, revision);
        }

        ConfigurationUpdate update = fetch(0, false);

        assertThat(update.getDifferencesList()).isEmpty();
        assertThat(update.getFull().getRevision()).isEqualTo(ConfigurationState.MAX_RETAINED_REVISIONS + 1);
    }

    @Test
    void aMemberThatDoesNotLeadAnswersOnlyLocalFetches() {
        change("a", 0, 100);
        log.loseLeadership();

        assertThat(fetch(0, true).getRevision()).isEqualTo(1);
        assertThatThrownBy(() -> fetch(0, false)).hasRootCauseInstanceOf(NettleringException.class);
    }

    @Test
    void aMemberThatHoldsUnappliedEntriesRefusesLocalFetches() {
        change("a", 0, 100);
        log.loseLeadership();
        log.holdAnUnappliedEntry();

        assertThatThrownBy(() -> fetch(1, true))
                .hasRootCauseInstanceOf(NettleringException.class)
                .hasMessageContaining("not applied");
    }

    @Test
    void aRevisionThatIsNotKeptIsNamedInTheError() {
        assertThatThrownBy(() -> call(ConfigurationRequest.newBuilder()
                        .setExplain(ExplainRevision.newBuilder().setRevision(9))))
                .isInstanceOf(CompletionException.class)
                .hasMessageContaining("revision 9");
    }

    @Test
    void aMalformedChangeIsRefusedBeforeItReachesTheLog() {
        ConfigurationCommand malformed = ConfigurationCommand.newBuilder()
                .setOperationId("a")
                .addChanges(ConfigurationChange.getDefaultInstance())
                .build();

        assertThatThrownBy(() -> call(ConfigurationRequest.newBuilder().setChange(malformed)))
                .isInstanceOf(NettleringException.class);
        assertThat(log.size()).isZero();
    }

    private ConfigurationResult change(String id, long expectedRevision, long milliwatts) {
        ConfigurationCommand command = ConfigurationCommand.newBuilder()
                .setOperationId(id)
                .setExpectedRevision(expectedRevision)
                .addChanges(ConfigurationChange.newBuilder().setPowerCapMilliwatts(milliwatts))
                .build();
        return call(ConfigurationRequest.newBuilder().setChange(command)).getResult();
    }

    private ConfigurationUpdate fetch(long knownRevision, boolean local) {
        return call(ConfigurationRequest.newBuilder()
                        .setFetch(FetchConfiguration.newBuilder()
                                .setKnownRevision(knownRevision)
                                .setLocal(local)))
                .getUpdate();
    }

    private ConfigurationResponse call(ConfigurationRequest.Builder request) {
        Frame frame = Frame.newBuilder().setConfigurationRequest(request).build();
        return service.handle(frame).toCompletableFuture().join().getConfigurationResponse();
    }
}
