package org.nettlering.domain.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.configuration.ConfigurationChange.MoveService;
import org.nettlering.domain.configuration.ConfigurationChange.PutProfile;
import org.nettlering.domain.configuration.ConfigurationChange.PutService;
import org.nettlering.domain.configuration.ConfigurationChange.RemoveProfile;
import org.nettlering.domain.configuration.ConfigurationChange.SetPowerCap;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

class SiteConfigurationTest {
    private static final Profile URGENT = new Profile("urgent", 90, Interruption.NEVER, 60);
    private static final Profile BATCH = new Profile("batch", 10, Interruption.EVICT, 40);

    private final SiteConfiguration base =
            SiteConfiguration.empty().plusChanges(List.of(new PutProfile(URGENT), new PutProfile(BATCH)));

    @Test
    void changesProduceTheNextRevision() {
        SiteConfiguration next = base.plusChanges(List.of(new SetPowerCap(1_000)));

        assertThat(next.revision()).isEqualTo(base.revision() + 1);
        assertThat(next.powerCapMilliwatts()).isEqualTo(1_000);
    }

    @Test
    void changesDoNotModifyTheEarlierRevision() {
        base.plusChanges(List.of(new RemoveProfile("batch")));

        assertThat(base.profiles()).containsKey("batch");
    }

    @Test
    void aServiceWithAnUnknownProfileIsRejected() {
        assertRejected(
                ErrorCode.INVALID_CONFIGURATION,
                "names profile \"missing\"",
                new PutService(service("previews", "missing", "/previews")));
    }

    @Test
    void powerSharesAboveOneHundredPercentAreRejected() {
        assertRejected(
                ErrorCode.INVALID_CONFIGURATION,
                "add up to 101%",
                new PutProfile(new Profile("extra", 50, Interruption.THROTTLE, 1)));
    }

    @Test
    void aProfileInUseCannotBeRemoved() {
        SiteConfiguration used = base.plusChanges(List.of(new PutService(service("previews", "urgent", "/previews"))));

        assertThatThrownBy(() -> used.plusChanges(List.of(new RemoveProfile("urgent"))))
                .hasMessageContaining("which does not exist");
    }

    @Test
    void oneRouteCannotBelongToTwoServices() {
        assertRejected(
                ErrorCode.INVALID_CONFIGURATION,
                "belongs to both",
                new PutService(service("first", "urgent", "/same")),
                new PutService(service("second", "urgent", "/same")));
    }

    @Test
    void aMissingServiceCannotBeMoved() {
        assertRejected(ErrorCode.NOT_FOUND, "\"absent\" does not exist", new MoveService("absent", "batch"));
    }

    @Test
    void anInvalidChangeRejectsTheWholeOperation() {
        assertRejected(ErrorCode.NOT_FOUND, "\"absent\"", new SetPowerCap(5), new RemoveProfile("absent"));
        assertThat(base.powerCapMilliwatts()).isZero();
    }

    @Test
    void movingAServiceKeepsItsRoutes() {
        SiteConfiguration moved = base.plusChanges(List.of(
                new PutService(service("previews", "urgent", "/previews")), new MoveService("previews", "batch")));

        ServiceDefinition service = moved.serviceFor("any", "/previews/1").orElseThrow();
        assertThat(service.profile()).isEqualTo("batch");
    }

    @Test
    void theLongestPrefixWinsAndARouteWithAHostHasPrecedence() {
        SiteConfiguration configuration = base.plusChanges(List.of(
                new PutService(service("all", "urgent", "/")),
                new PutService(service("previews", "urgent", "/previews")),
                new PutService(new ServiceDefinition(
                        "studio", "urgent", List.of(new Route("studio.example", "/")), Duration.ofSeconds(1), 10))));

        assertThat(configuration.serviceFor("x", "/other"))
                .get()
                .extracting("name")
                .isEqualTo("all");
        assertThat(configuration.serviceFor("x", "/previews/7"))
                .get()
                .extracting("name")
                .isEqualTo("previews");
        assertThat(configuration.serviceFor("x", "/previewsold"))
                .get()
                .extracting("name")
                .isEqualTo("all");
        assertThat(configuration.serviceFor("Studio.Example", "/previews"))
                .get()
                .extracting("name")
                .isEqualTo("studio");
    }

    private void assertRejected(ErrorCode code, String message, ConfigurationChange... changes) {
        assertThatThrownBy(() -> base.plusChanges(List.of(changes)))
                .isInstanceOfSatisfying(
                        NettleringException.class,
                        exception -> assertThat(exception.code()).isEqualTo(code))
                .hasMessageContaining(message);
    }

    private static ServiceDefinition service(String name, String profile, String prefix) {
        return new ServiceDefinition(name, profile, List.of(new Route("", prefix)), Duration.ofSeconds(1), 10);
    }
}
