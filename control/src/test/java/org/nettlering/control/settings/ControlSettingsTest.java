package org.nettlering.control.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.nettlering.runtime.settings.SettingsException;

class ControlSettingsTest {
    private static final Path SAMPLES = Path.of("..", "conf");

    @TempDir
    private Path folder = Path.of("");

    @ParameterizedTest
    @ValueSource(strings = {"ljubljana", "ankara"})
    void theSampleOfEachSiteLoads(String site) {
        ControlSettings settings = ControlSettings.load(SAMPLES.resolve(site + "-control-1.ini"));

        assertThat(settings.identity().clusterId()).isEqualTo(site);
        assertThat(settings.members()).containsOnlyKeys("control-1", "control-2", "control-3");
        assertThat(settings.members().values().stream().map(ControlMember::failureDomain))
                .doesNotHaveDuplicates();
    }

    @Test
    void membersBehindARelayAreAdvertisedAtItsAddress() throws IOException {
        Path sample = SAMPLES.resolve("ankara-control-1.ini");
        Path file = folder.resolve("relay.ini");
        Files.writeString(file, Files.readString(sample) + "\n[advertised]\ncontrol-2 = 192.0.2.7:9100\n");

        assertThat(ControlSettings.load(sample).advertised()).isEmpty();
        assertThat(ControlSettings.load(file).advertised()).containsOnlyKeys("control-2");
    }

    @Test
    void everyFaultOfABadFileIsNamed() throws IOException {
        Path file = folder.resolve("bad.ini");
        Files.writeString(file, """
                [cluster]
                id = site
                [process]
                failure_domain =
                [listen]
                peers = here
                metrics = 127.0.0.1:7101
                port = 9
                [members]
                c1 = 127.0.0.1:7100 fd-1
                c1 = 127.0.0.1:7200 fd-1
                c2 = 127.0.0.1:7300
                c3 = 127.0.0.1:7100 fd-3
                """);

        assertThatThrownBy(() -> ControlSettings.load(file))
                .isInstanceOfSatisfying(
                        SettingsException.class,
                        exception -> assertThat(exception.faults())
                                .allMatch(fault -> fault.startsWith(file + ": ["))
                                .anyMatch(fault -> fault.contains("[process] id: is missing"))
                                .anyMatch(fault -> fault.contains("[process] failure_domain: is blank"))
                                .anyMatch(fault -> fault.contains("[listen] peers: \"here\" is no address"))
                                .anyMatch(fault -> fault.contains("[listen] port: the key is unknown"))
                                .anyMatch(fault -> fault.contains("[storage] data_folder: is missing"))
                                .anyMatch(fault -> fault.contains("[members] c1: stands 2 times"))
                                .anyMatch(
                                        fault -> fault.contains("[members] c2: \"127.0.0.1:7300\" is not of the form"))
                                .anyMatch(fault -> fault.contains("[members] c3: has the address of member \"c1\""))
                                .hasSize(8));
    }
}
