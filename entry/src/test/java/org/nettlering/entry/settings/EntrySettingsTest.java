package org.nettlering.entry.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.nettlering.runtime.settings.SettingsException;

class EntrySettingsTest {
    private static final Path SAMPLES = Path.of("..", "conf");

    private static final String MINIMAL_SETTINGS = """
            [cluster]
            id = site
            [process]
            id = e1
            failure_domain = fd-1
            [listen]
            callers = 127.0.0.1:0
            platform = 127.0.0.1:0
            operators = 127.0.0.1:0
            peers = 127.0.0.1:0
            [control]
            c1 = 127.0.0.1:7100
            """;

    @TempDir
    private Path folder = Path.of("");

    @ParameterizedTest
    @CsvSource({"ljubljana, 7", "ankara, 5"})
    void sampleSettingsOfEachSiteLoad(String site, int otherEntries) {
        EntrySettings settings = EntrySettings.load(SAMPLES.resolve(site + "-entry-1.ini"));

        assertThat(settings.identity().clusterId()).isEqualTo(site);
        assertThat(settings.controlAddresses()).hasSize(3);
        assertThat(settings.otherEntryAddresses()).hasSize(otherEntries).doesNotContainKey("entry-1");
        assertThat(settings.limits()).isEqualTo(EntryLimits.DEFAULTS);
    }

    @Test
    void optionalSectionsMayBeAbsent() throws IOException {
        EntrySettings settings = EntrySettings.load(write(MINIMAL_SETTINGS));

        assertThat(settings.limits()).isEqualTo(EntryLimits.DEFAULTS);
        assertThat(settings.otherEntryAddresses()).isEmpty();
    }

    @Test
    void limitsAreRead() throws IOException {
        EntrySettings settings =
                EntrySettings.load(write(MINIMAL_SETTINGS + "[limits]\nreplay_bytes = 7\nstop_timeout_millis = 9\n"));

        assertThat(settings.limits().maxReplayBytes()).isEqualTo(7);
        assertThat(settings.limits().stopTimeout()).isEqualTo(Duration.ofMillis(9));
    }

    @Test
    void exceptionListsEveryFaultOfAnInvalidFile() throws IOException {
        Path file = write("""
                [cluster]
                id = site
                [process]
                id = e1
                [listen]
                callers = 127.0.0.1:99999
                platform = 127.0.0.1:1
                peers = 127.0.0.1:2
                [entries]
                e2 = 127.0.0.1:3
                e3 = 127.0.0.1:3
                [limits]
                replay_bytes = -1
                waiting_requests = 99999999999
                speed = 3
                """);

        assertThatThrownBy(() -> EntrySettings.load(file))
                .isInstanceOfSatisfying(
                        SettingsException.class,
                        exception -> assertThat(exception.faults())
                                .anyMatch(fault -> fault.contains("[process] failure_domain: is missing"))
                                .anyMatch(
                                        fault -> fault.contains("[listen] callers: \"127.0.0.1:99999\" is no address"))
                                .anyMatch(fault -> fault.contains("[listen] operators: is missing"))
                                .anyMatch(fault -> fault.contains("[control]: names no control member"))
                                .anyMatch(fault -> fault.contains("[entries] e3: has the address of \"e2\""))
                                .anyMatch(fault -> fault.contains("[limits] replay_bytes: \"-1\" is no whole number"))
                                .anyMatch(
                                        fault -> fault.contains("[limits] waiting_requests: 99999999999 is more than"))
                                .anyMatch(fault -> fault.contains("[limits] speed: the key is unknown"))
                                .hasSize(8));
    }

    private Path write(String text) throws IOException {
        Path file = folder.resolve("entry.ini");
        Files.writeString(file, text);
        return file;
    }
}
